package bulrushmove

import (
	"maps"
	"slices"
	"strconv"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"bulrushchute.example/bulrushchute"
)

// ShareRecord is the share of a move as spread among nodes, keyed by TopicMove and
// the service's name. Its version is (Epoch, FullShare - Share), so that within
// an epoch the lowest share is the newest version.
type ShareRecord struct {
	Service    bulrushchute.Service `cbor:"1,keyasint"`
	Generation uint64               `cbor:"2,keyasint"`
	Epoch      uint64               `cbor:"3,keyasint"`
	// Share is in basis points.
	Share int `cbor:"4,keyasint"`
	// Braked is set when the new version was found bad. The share of the
	// generation then stays 0 in all later epochs too.
	Braked bool `cbor:"5,keyasint,omitempty"`
	// Reason describes the finding, for status output and logs.
	Reason string `cbor:"6,keyasint,omitempty"`
	// Limited is set when an instance of the new version receives requests only
	// within its grant in Grants.
	Limited bool    `cbor:"7,keyasint,omitempty"`
	Grants  []Grant `cbor:"8,keyasint,omitempty"`
}

func (sr ShareRecord) equal(other ShareRecord) bool {
	return sr.Service == other.Service && sr.Generation == other.Generation && sr.Version() == other.Version() &&
		sr.Braked == other.Braked && sr.Reason == other.Reason && sr.Limited == other.Limited && slices.Equal(sr.Grants, other.Grants)
}

// Version returns the version by which records of a service are ordered.
func (sr ShareRecord) Version() bulrushchute.RecordVersion {
	return bulrushchute.RecordVersion{Epoch: sr.Epoch, Counter: uint64(FullShare - sr.Share)}
}

// Record encodes the share as a record to spread.
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

// ParseShareRecord decodes and validates a record.
func ParseShareRecord(record bulrushchute.Record) (ShareRecord, error) {
	var share ShareRecord
	if err := cbor.Unmarshal(record.Value, &share); err != nil {
		return ShareRecord{}, errors.Wrapf(err, "decode share record of %s", record.Key.Name)
	}
	if share.Share < 0 || share.Share > FullShare {
		return ShareRecord{}, &bulrushchute.FieldError{Field: "share", Value: strconv.Itoa(share.Share), Allowed: "0 to 10000"}
	}
	for _, grant := range share.Grants {
		if grant.Requests < 0 {
			return ShareRecord{}, &bulrushchute.FieldError{Field: "grants", Value: strconv.Itoa(grant.Requests), Allowed: "0 or more requests"}
		}
	}
	consistent := record.Key.Topic == bulrushchute.TopicMove && record.Key.Name == string(share.Service) && record.Version == share.Version()
	if !consistent {
		return ShareRecord{}, &bulrushchute.FieldError{Field: "version", Value: record.Key.Name, Allowed: "a key and version that match the value"}
	}
	return share, nil
}

// Shares holds the current shares on one node. It is immutable, and the zero value
// is empty.
type Shares struct {
	services map[bulrushchute.Service]serviceShare
}

type serviceShare struct {
	latest ShareRecord
	// brakedGeneration is the newest generation that was found bad, 0 for none.
	brakedGeneration uint64
	brakeReason      string
}

// WithRecord returns the shares updated with a record. An older record changes
// nothing, except that a brake applies to its generation in any epoch, because
// the holder may have raised the share before it received the brake. In that case
// the second result is the record to spread that lowers the share in the newer
// epoch; otherwise it is nil.
func (s Shares) WithRecord(record ShareRecord) (Shares, *ShareRecord) {
	current, seen := s.services[record.Service]
	if record.Braked && record.Generation > current.brakedGeneration {
		current.brakedGeneration, current.brakeReason = record.Generation, record.Reason
	}
	if !seen || current.latest.Version().Less(record.Version()) {
		current.latest = record
	}
	var lowered *ShareRecord
	if current.brakedGeneration == current.latest.Generation && current.latest.Share > 0 {
		current.latest.Share = 0
		current.latest.Braked = true
		current.latest.Reason = current.brakeReason
		copied := current.latest
		lowered = &copied
	}
	return s.withService(record.Service, current), lowered
}

func (s Shares) withService(service bulrushchute.Service, current serviceShare) Shares {
	services := maps.Clone(s.services)
	if services == nil {
		services = map[bulrushchute.Service]serviceShare{}
	}
	services[service] = current
	return Shares{services: services}
}

// WithBrake returns the shares after this node has found a generation bad, and the
// record to spread. The record is nil if no record of the generation has been
// received yet; the brake then applies from its first record on.
func (s Shares) WithBrake(service bulrushchute.Service, generation uint64, reason string) (Shares, *ShareRecord) {
	latest := s.services[service].latest
	brake := ShareRecord{Service: service, Generation: generation, Epoch: latest.Epoch, Braked: true, Reason: reason}
	if latest.Generation == generation {
		next, _ := s.WithRecord(brake)
		return next, &brake
	}
	current := s.services[service]
	if generation > current.brakedGeneration {
		current.brakedGeneration, current.brakeReason = generation, reason
	}
	return s.withService(service, current), nil
}

// ShareOf returns the share of a service's move in basis points. It is 0 unless the
// latest record is about the given generation.
func (s Shares) ShareOf(service bulrushchute.Service, generation uint64) int {
	current := s.services[service]
	if current.latest.Generation != generation || current.brakedGeneration >= generation {
		return 0
	}
	return current.latest.Share
}

// GrantOf returns the number of requests that an instance of the new version may
// receive in an ordered move, or false if there is no limit. The grant is 0 unless
// the latest record is about the given generation.
func (s Shares) GrantOf(service bulrushchute.Service, generation uint64, instance bulrushchute.InstanceID) (int, bool) {
	current := s.services[service]
	if current.latest.Generation != generation || current.brakedGeneration >= generation {
		return 0, true
	}
	if !current.latest.Limited {
		return 0, false
	}
	for _, grant := range current.latest.Grants {
		if grant.Instance == instance {
			return grant.Requests, true
		}
	}
	return 0, true
}

// Latest returns the newest record of a service, or false if there is none.
func (s Shares) Latest(service bulrushchute.Service) (ShareRecord, bool) {
	current, ok := s.services[service]
	return current.latest, ok && current.latest.Generation > 0
}
