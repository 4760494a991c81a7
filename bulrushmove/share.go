package bulrushmove

import (
	"maps"
	"strconv"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"bulrushchute.example/bulrushchute"
)

// ShareRecord is the share of a move as it is spread among nodes, under
// TopicMove and the service's name. Its version is (Epoch, FullShare - Share),
// so within an epoch the lowest share is the newest version.
type ShareRecord struct {
	Service    bulrushchute.Service `cbor:"1,keyasint"`
	Generation uint64               `cbor:"2,keyasint"`
	Epoch      uint64               `cbor:"3,keyasint"`
	// Share is in basis points.
	Share int `cbor:"4,keyasint"`
	// Braked is set when the new version was found bad: the generation then
	// stays at 0 in every later epoch too.
	Braked bool `cbor:"5,keyasint,omitempty"`
	// Reason says what was found, for status and logs.
	Reason string `cbor:"6,keyasint,omitempty"`
}

// Version returns the version that orders the record.
func (sr ShareRecord) Version() bulrushchute.RecordVersion {
	return bulrushchute.RecordVersion{Epoch: sr.Epoch, Counter: uint64(FullShare - sr.Share)}
}

// Record encodes the share for the spread package.
func (sr ShareRecord) Record() bulrushchute.Record {
	value, err := cbor.Marshal(sr)
	if err != nil {
		// A struct of strings and numbers always has an encoding.
		panic(errors.Wrap(err, "encode share record"))
	}
	return bulrushchute.Record{
		Key:     bulrushchute.RecordKey{Topic: bulrushchute.TopicMove, Name: string(sr.Service)},
		Version: sr.Version(),
		Value:   value,
	}
}

// ParseShareRecord decodes and checks a record.
func ParseShareRecord(record bulrushchute.Record) (ShareRecord, error) {
	var share ShareRecord
	if err := cbor.Unmarshal(record.Value, &share); err != nil {
		return ShareRecord{}, errors.Wrapf(err, "share record of %s", record.Key.Name)
	}
	if share.Share < 0 || share.Share > FullShare {
		return ShareRecord{}, &bulrushchute.FieldError{Field: "share", Value: strconv.Itoa(share.Share), Allowed: "0 to 10000"}
	}
	sound := record.Key.Topic == bulrushchute.TopicMove && record.Key.Name == string(share.Service) && record.Version == share.Version()
	if !sound {
		return ShareRecord{}, &bulrushchute.FieldError{Field: "version", Value: record.Key.Name, Allowed: "a key and version that match the value"}
	}
	return share, nil
}

// Shares holds the shares in force on one node. It is immutable, and the zero
// value is empty.
type Shares struct {
	services map[bulrushchute.Service]serviceShare
}

type serviceShare struct {
	latest ShareRecord
	// braked is the newest generation that was found bad.
	braked       uint64
	brakedReason string
}

// With returns shares that take a record into account. An older record changes
// nothing, except that a brake of any epoch holds for its generation: the
// holder may have raised the share before it heard of the brake. The second
// value is then the record that lowers the share in the newer epoch, to be
// spread; it is nil otherwise.
func (s Shares) With(record ShareRecord) (Shares, *ShareRecord) {
	known, seen := s.services[record.Service]
	if record.Braked && record.Generation > known.braked {
		known.braked, known.brakedReason = record.Generation, record.Reason
	}
	if !seen || known.latest.Version().Less(record.Version()) {
		known.latest = record
	}
	var lowered *ShareRecord
	if known.braked == known.latest.Generation && known.latest.Share > 0 {
		known.latest.Share = 0
		known.latest.Braked = true
		known.latest.Reason = known.brakedReason
		copied := known.latest
		lowered = &copied
	}
	return s.with(record.Service, known), lowered
}

func (s Shares) with(service bulrushchute.Service, known serviceShare) Shares {
	services := maps.Clone(s.services)
	if services == nil {
		services = map[bulrushchute.Service]serviceShare{}
	}
	services[service] = known
	return Shares{services: services}
}

// WithBrake returns shares in which a generation was found bad on this node,
// and the record to spread. The record is nil when nothing is known of the
// generation yet; the brake then holds from its first record on.
func (s Shares) WithBrake(service bulrushchute.Service, generation uint64, reason string) (Shares, *ShareRecord) {
	latest := s.services[service].latest
	brake := ShareRecord{Service: service, Generation: generation, Epoch: latest.Epoch, Braked: true, Reason: reason}
	if latest.Generation == generation {
		next, _ := s.With(brake)
		return next, &brake
	}
	known := s.services[service]
	if generation > known.braked {
		known.braked, known.brakedReason = generation, reason
	}
	return s.with(service, known), nil
}

// Of returns the share of a service's move in basis points. It is 0 for
// another generation than the one that the latest record is about.
func (s Shares) Of(service bulrushchute.Service, generation uint64) int {
	known := s.services[service]
	if known.latest.Generation != generation || known.braked >= generation {
		return 0
	}
	return known.latest.Share
}

// Latest returns the newest record of a service.
func (s Shares) Latest(service bulrushchute.Service) (ShareRecord, bool) {
	known, ok := s.services[service]
	return known.latest, ok && known.latest.Generation > 0
}
