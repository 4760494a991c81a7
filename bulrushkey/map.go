package bulrushkey

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"bulrushchute.example/bulrushchute"
)

// MaxMonitors is the largest number of lease monitors of one home.
const MaxMonitors = 5

// LeaseMonitor is a node whose acknowledgements make up a home's lease. The
// data centre is kept with it because a successor may need it when the
// monitor itself is gone.
type LeaseMonitor struct {
	ID         bulrushchute.InstanceID `json:"id" cbor:"1,keyasint"`
	DataCentre bulrushchute.DataCentre `json:"data_centre" cbor:"2,keyasint"`
}

// Home is a node that is assigned partitions.
type Home struct {
	ID         bulrushchute.InstanceID `json:"id" cbor:"1,keyasint"`
	DataCentre bulrushchute.DataCentre `json:"data_centre" cbor:"2,keyasint"`
	Monitors   []LeaseMonitor          `json:"monitors" cbor:"3,keyasint"`
	// Epoch grows each time the node becomes a home anew. Promises of its lease
	// monitors end one epoch, so a home that was taken over can come back later.
	Epoch uint64 `json:"epoch" cbor:"4,keyasint"`
}

// Assignment gives one partition to a home.
type Assignment struct {
	// Home is an index into KeyMap.Homes.
	Home int `json:"home" cbor:"1,keyasint"`
	// Epoch grows by one with each new home of the partition.
	Epoch uint64 `json:"epoch" cbor:"2,keyasint"`
	// Since is the earliest mint time of keys that the home may run.
	Since bulrushchute.Millis `json:"since" cbor:"3,keyasint"`
	// Previous is the home that handed the partition over and still answers
	// for keys minted before Since, empty if it had gone.
	Previous bulrushchute.InstanceID `json:"previous,omitempty" cbor:"4,keyasint,omitempty"`
}

// KeyMap assigns the partitions of one service to homes. It is immutable:
// the With methods return changed copies.
type KeyMap struct {
	Service bulrushchute.Service `json:"service" cbor:"1,keyasint"`
	// Writer identifies the write that stored this value, so that a writer
	// whose answer was lost can recognise its own write.
	Writer     string       `json:"writer" cbor:"2,keyasint"`
	Homes      []Home       `json:"homes" cbor:"3,keyasint"`
	Partitions []Assignment `json:"partitions" cbor:"4,keyasint"`
	// Epoch is the highest epoch that a home has had.
	Epoch uint64 `json:"epoch" cbor:"6,keyasint"`
	// Version is the store's revision of the object.
	Version uint64 `json:"-" cbor:"5,keyasint"`
}

// ParseMap reads a key map from its object in the store.
func ParseMap(object bulrushchute.Object) (KeyMap, error) {
	var m KeyMap
	decoder := json.NewDecoder(bytes.NewReader(object.Value))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&m); err != nil {
		return KeyMap{}, errors.Wrapf(err, "key map %s", object.Name)
	}
	m.Version = object.Version
	if string(m.Service) != object.Name {
		err := &bulrushchute.FieldError{Field: "service", Value: string(m.Service), Allowed: object.Name}
		return KeyMap{}, errors.Wrapf(err, "key map %s", object.Name)
	}
	if err := m.validate(); err != nil {
		return KeyMap{}, errors.Wrapf(err, "key map %s", object.Name)
	}
	return m, nil
}

// ParseRecord reads a key map from the value of a gossip record.
func ParseRecord(value []byte) (KeyMap, error) {
	var m KeyMap
	if err := cbor.Unmarshal(value, &m); err != nil {
		return KeyMap{}, errors.Wrap(err, "key map record")
	}
	if err := m.validate(); err != nil {
		return KeyMap{}, errors.Wrap(err, "key map record")
	}
	return m, nil
}

// Record returns the key map in CBOR, with its version, as the value of a
// gossip record.
func (m KeyMap) Record() ([]byte, error) {
	value, err := cbor.Marshal(m)
	return value, errors.Wrap(err, "encode key map record")
}

// Object returns the key map as an object of the store, at its version.
func (m KeyMap) Object() (bulrushchute.Object, error) {
	value, err := json.Marshal(m)
	if err != nil {
		return bulrushchute.Object{}, errors.Wrap(err, "encode key map")
	}
	return bulrushchute.Object{
		Kind:    bulrushchute.KindKeyMaps,
		Name:    string(m.Service),
		Version: m.Version,
		Value:   value,
	}, nil
}

// HomeOf returns the home of a partition and its assignment.
func (m KeyMap) HomeOf(partition int) (Home, Assignment, bool) {
	if partition < 0 || partition >= len(m.Partitions) {
		return Home{}, Assignment{}, false
	}
	assignment := m.Partitions[partition]
	return m.Homes[assignment.Home], assignment, true
}

// HomeFor returns the node that answers for a key: the partition's home, or
// the one that handed the partition over if the key was minted before that.
func (m KeyMap) HomeFor(key Key) (bulrushchute.InstanceID, bool) {
	home, assignment, found := m.HomeOf(key.Partition())
	if found && key.Mint() < assignment.Since && assignment.Previous != "" {
		return assignment.Previous, true
	}
	return home.ID, found
}

// withPrevious returns a copy in which partitions that moved from a home name
// it as their previous one.
func (m KeyMap) withPrevious(id bulrushchute.InstanceID, partitions []int) KeyMap {
	m.Partitions = slices.Clone(m.Partitions)
	for _, p := range partitions {
		m.Partitions[p].Previous = id
	}
	return m
}

// Find returns the home with the given identity.
func (m KeyMap) Find(id bulrushchute.InstanceID) (Home, bool) {
	for _, home := range m.Homes {
		if home.ID == id {
			return home, true
		}
	}
	return Home{}, false
}

// PartitionsOf returns the partitions that are assigned to a home, in order.
func (m KeyMap) PartitionsOf(id bulrushchute.InstanceID) []int {
	var partitions []int
	for p, assignment := range m.Partitions {
		if m.Homes[assignment.Home].ID == id {
			partitions = append(partitions, p)
		}
	}
	return partitions
}

// WithWriter returns a copy that names the write that stores it.
func (m KeyMap) WithWriter(writer string) KeyMap {
	m.Writer = writer
	return m
}

// WithVersion returns a copy at another revision of the store.
func (m KeyMap) WithVersion(version uint64) KeyMap {
	m.Version = version
	return m
}

// WithMonitors returns a copy in which a home has other lease monitors.
func (m KeyMap) WithMonitors(id bulrushchute.InstanceID, monitors []LeaseMonitor) KeyMap {
	m.Homes = slices.Clone(m.Homes)
	for i := range m.Homes {
		if m.Homes[i].ID == id {
			m.Homes[i].Monitors = slices.Clone(monitors)
		}
	}
	return m
}

// WithHome returns a copy in which a home is assigned partitions, each in its
// next epoch. A home that the map already names keeps its lease monitors and
// epoch. Homes without partitions are dropped.
func (m KeyMap) WithHome(home Home, since bulrushchute.Millis, partitions ...int) KeyMap {
	m.Homes = slices.Clone(m.Homes)
	m.Partitions = slices.Clone(m.Partitions)
	index := slices.IndexFunc(m.Homes, func(h Home) bool { return h.ID == home.ID })
	if index < 0 {
		index = len(m.Homes)
		m.Epoch++
		home.Epoch = m.Epoch
		m.Homes = append(m.Homes, home)
	}
	for _, p := range partitions {
		previous := m.Partitions[p]
		m.Partitions[p] = Assignment{
			Home:  index,
			Epoch: previous.Epoch + 1,
			Since: max(since, previous.Since+1),
		}
	}
	return m.compact()
}

// compact drops homes without partitions. The receiver's slices are its own.
func (m KeyMap) compact() KeyMap {
	position := make([]int, len(m.Homes))
	for _, assignment := range m.Partitions {
		position[assignment.Home] = 1
	}
	homes := make([]Home, 0, len(m.Homes))
	for i, home := range m.Homes {
		if position[i] == 1 {
			position[i] = len(homes)
			homes = append(homes, home)
		}
	}
	for p := range m.Partitions {
		m.Partitions[p].Home = position[m.Partitions[p].Home]
	}
	m.Homes = homes
	return m
}

func (m KeyMap) validate() error {
	if len(m.Partitions) != Partitions {
		return &bulrushchute.FieldError{
			Field:   "partitions",
			Value:   fmt.Sprintf("%d entries", len(m.Partitions)),
			Allowed: fmt.Sprintf("%d entries", Partitions),
		}
	}
	for p, assignment := range m.Partitions {
		if assignment.Home < 0 || assignment.Home >= len(m.Homes) {
			return &bulrushchute.FieldError{
				Field:   fmt.Sprintf("partitions[%d].home", p),
				Value:   fmt.Sprint(assignment.Home),
				Allowed: fmt.Sprintf("0 to %d", len(m.Homes)-1),
			}
		}
	}
	return m.validateHomes()
}

func (m KeyMap) validateHomes() error {
	seen := make(map[bulrushchute.InstanceID]bool)
	for i, home := range m.Homes {
		if home.ID == "" || seen[home.ID] {
			return &bulrushchute.FieldError{
				Field:   fmt.Sprintf("homes[%d].id", i),
				Value:   string(home.ID),
				Allowed: "a name that no other home has",
			}
		}
		seen[home.ID] = true
		if len(home.Monitors) > MaxMonitors {
			return &bulrushchute.FieldError{
				Field:   fmt.Sprintf("homes[%d].monitors", i),
				Value:   fmt.Sprintf("%d entries", len(home.Monitors)),
				Allowed: fmt.Sprintf("at most %d entries", MaxMonitors),
			}
		}
	}
	return nil
}
