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

// LeaseMonitor is a node whose acknowledgements make up a home's lease. It is
// stored with its data centre, because a successor counts a monitor in a lost
// data centre as having promised, even after the monitor has left the membership.
type LeaseMonitor struct {
	ID         bulrushchute.InstanceID `json:"id" cbor:"1,keyasint"`
	DataCentre bulrushchute.DataCentre `json:"data_centre" cbor:"2,keyasint"`
}

// Home is a node that is assigned partitions.
type Home struct {
	ID         bulrushchute.InstanceID `json:"id" cbor:"1,keyasint"`
	DataCentre bulrushchute.DataCentre `json:"data_centre" cbor:"2,keyasint"`
	Monitors   []LeaseMonitor          `json:"monitors" cbor:"3,keyasint"`
	// Epoch is higher each time the node becomes a home again. A promise of a
	// lease monitor covers the epochs so far only, so that a home that was taken
	// over can become a home again.
	Epoch uint64 `json:"epoch" cbor:"4,keyasint"`
}

// Assignment assigns one partition to a home.
type Assignment struct {
	// Home is an index into KeyMap.Homes.
	Home int `json:"home" cbor:"1,keyasint"`
	// Epoch is incremented with each new home of the partition.
	Epoch uint64 `json:"epoch" cbor:"2,keyasint"`
	// Since is the earliest mint time of keys that the home may run.
	Since bulrushchute.Millis `json:"since" cbor:"3,keyasint"`
	// Previous is the home that handed the partition over and still handles keys
	// minted before Since. It is empty unless that home handed the partition over
	// because it was leaving.
	Previous bulrushchute.InstanceID `json:"previous,omitempty" cbor:"4,keyasint,omitempty"`
}

// KeyMap assigns the partitions of one service to homes. It is immutable: the
// With methods return modified copies.
type KeyMap struct {
	Service bulrushchute.Service `json:"service" cbor:"1,keyasint"`
	// Writer identifies the write that stored this value, so that a node that
	// did not receive the store's response can recognise its own write.
	Writer     string       `json:"writer" cbor:"2,keyasint"`
	Homes      []Home       `json:"homes" cbor:"3,keyasint"`
	Partitions []Assignment `json:"partitions" cbor:"4,keyasint"`
	// Epoch is the highest epoch assigned to any home so far.
	Epoch uint64 `json:"epoch" cbor:"6,keyasint"`
	// Version is the store's revision of the object.
	Version uint64 `json:"-" cbor:"5,keyasint"`
}

// ParseMap decodes and validates the key map in an object of the store. Gossip
// records of key maps contain the same JSON value.
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

// ParseCBOR decodes and validates a key map encoded by EncodeCBOR.
func ParseCBOR(value []byte) (KeyMap, error) {
	var m KeyMap
	if err := cbor.Unmarshal(value, &m); err != nil {
		return KeyMap{}, errors.Wrap(err, "decode key map from CBOR")
	}
	if err := m.validate(); err != nil {
		return KeyMap{}, errors.Wrap(err, "key map in CBOR")
	}
	return m, nil
}

// EncodeCBOR encodes the key map and its version in CBOR.
func (m KeyMap) EncodeCBOR() ([]byte, error) {
	value, err := cbor.Marshal(m)
	return value, errors.Wrap(err, "encode key map in CBOR")
}

// Object encodes the key map as an object of the store at the map's version.
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

// InstanceFor returns the node that handles a key. This is the home of the key's
// partition, or the previous home if the key was minted before the present home's
// Since and the previous home handed the partition over.
func (m KeyMap) InstanceFor(key Key) (bulrushchute.InstanceID, bool) {
	home, assignment, found := m.HomeOf(key.Partition())
	if found && key.MintTime() < assignment.Since && assignment.Previous != "" {
		return assignment.Previous, true
	}
	return home.ID, found
}

// withPrevious returns a copy in which the given partitions have id as their
// previous home.
func (m KeyMap) withPrevious(id bulrushchute.InstanceID, partitions []int) KeyMap {
	m.Partitions = slices.Clone(m.Partitions)
	for _, p := range partitions {
		m.Partitions[p].Previous = id
	}
	return m
}

// FindHome returns the home with the given ID.
func (m KeyMap) FindHome(id bulrushchute.InstanceID) (Home, bool) {
	for _, home := range m.Homes {
		if home.ID == id {
			return home, true
		}
	}
	return Home{}, false
}

// PartitionsOf returns the partitions of a home in ascending order.
func (m KeyMap) PartitionsOf(id bulrushchute.InstanceID) []int {
	var partitions []int
	for p, assignment := range m.Partitions {
		if m.Homes[assignment.Home].ID == id {
			partitions = append(partitions, p)
		}
	}
	return partitions
}

// WithWriter returns a copy with another Writer.
func (m KeyMap) WithWriter(writer string) KeyMap {
	m.Writer = writer
	return m
}

// WithVersion returns a copy with another revision of the store.
func (m KeyMap) WithVersion(version uint64) KeyMap {
	m.Version = version
	return m
}

// WithMonitors returns a copy in which the lease monitors of a home are replaced.
func (m KeyMap) WithMonitors(id bulrushchute.InstanceID, monitors []LeaseMonitor) KeyMap {
	m.Homes = slices.Clone(m.Homes)
	for i := range m.Homes {
		if m.Homes[i].ID == id {
			m.Homes[i].Monitors = slices.Clone(monitors)
		}
	}
	return m
}

// WithHome returns a copy in which the partitions are assigned to a home, each
// with its next epoch. A home that is already in the map keeps its lease monitors
// and epoch. Homes without partitions are removed.
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

// compact removes homes without partitions. It modifies m.Partitions in place,
// so the caller must own that slice.
func (m KeyMap) compact() KeyMap {
	// position is 1 for each home with partitions, and then the home's new index.
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
	if len(m.Partitions) != PartitionCount {
		return &bulrushchute.FieldError{
			Field:   "partitions",
			Value:   fmt.Sprintf("%d entries", len(m.Partitions)),
			Allowed: fmt.Sprintf("%d entries", PartitionCount),
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
