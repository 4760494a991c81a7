package bulrushmembership

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"bulrushchute.example/bulrushchute"
)

// Each member writes its own record, and no other node does. Suspicions are
// separate records, written by monitors and small enough to be sent inline. A
// full record for each suspicion would exceed the bandwidth budget when a rack is
// lost.

// suspicionPrefix is the name prefix of suspicion records.
const suspicionPrefix = "~"

// Ranks of a suspicion, stored in the upper half of the version's counter. The
// lower half is a hash of the monitor's ID, so that two monitors never write the
// same version.
const (
	rankSuspect = 1
	rankDead    = 2
	rankShift   = 32
)

// maxFieldBytes bounds the address and the data centre in a member record.
const maxFieldBytes = 128

// memberValue is the value of a member record. The ID is in the key of the record
// and the incarnation in its version.
type memberValue struct {
	Address    bulrushchute.Address       `cbor:"1,keyasint"`
	DataCentre bulrushchute.DataCentre    `cbor:"2,keyasint"`
	Service    bulrushchute.Service       `cbor:"3,keyasint,omitempty"`
	Version    bulrushchute.Version       `cbor:"4,keyasint,omitempty"`
	State      bulrushchute.InstanceState `cbor:"5,keyasint,omitempty"`
	Slots      int                        `cbor:"6,keyasint,omitempty"`
	StartedAt  bulrushchute.Millis        `cbor:"7,keyasint,omitempty"`
}

func memberKey(id bulrushchute.InstanceID) bulrushchute.RecordKey {
	return bulrushchute.RecordKey{Topic: bulrushchute.TopicMember, Name: string(id)}
}

func suspicionKey(id bulrushchute.InstanceID) bulrushchute.RecordKey {
	return bulrushchute.RecordKey{Topic: bulrushchute.TopicMember, Name: suspicionPrefix + string(id)}
}

// suspicionSubject returns the ID of the suspected member, or false if the key is
// not that of a suspicion record.
func suspicionSubject(key bulrushchute.RecordKey) (bulrushchute.InstanceID, bool) {
	id, ok := strings.CutPrefix(key.Name, suspicionPrefix)
	return bulrushchute.InstanceID(id), ok
}

// encodeMember returns the record of a member. The counter orders the changes
// within one incarnation.
func encodeMember(member bulrushchute.Instance, counter uint64) (bulrushchute.Record, error) {
	value, err := cbor.Marshal(memberValue{
		Address:    member.Address,
		DataCentre: member.DataCentre,
		Service:    member.Service,
		Version:    member.Version,
		State:      member.State,
		Slots:      member.Slots,
		StartedAt:  member.StartedAt,
	})
	if err != nil {
		return bulrushchute.Record{}, errors.Wrap(err, "encode member record")
	}
	version := bulrushchute.RecordVersion{Epoch: member.Incarnation, Counter: counter}
	return bulrushchute.Record{Key: memberKey(member.ID), Version: version, Value: value}, nil
}

func decodeMember(record bulrushchute.Record) (bulrushchute.Instance, error) {
	var v memberValue
	if err := cbor.Unmarshal(record.Value, &v); err != nil {
		return bulrushchute.Instance{}, errors.Wrap(err, "decode member record")
	}
	if err := checkMember(&v); err != nil {
		return bulrushchute.Instance{}, err
	}
	return bulrushchute.Instance{
		ID:          bulrushchute.InstanceID(record.Key.Name),
		Address:     v.Address,
		DataCentre:  v.DataCentre,
		Service:     v.Service,
		Version:     v.Version,
		State:       v.State,
		Incarnation: record.Version.Epoch,
		Slots:       v.Slots,
		StartedAt:   v.StartedAt,
	}, nil
}

func checkMember(v *memberValue) error {
	if v.Address == "" || len(v.Address) > maxFieldBytes {
		return &bulrushchute.FieldError{Field: "address", Value: string(v.Address), Allowed: "1 to 128 bytes"}
	}
	if v.DataCentre == "" || len(v.DataCentre) > maxFieldBytes {
		return &bulrushchute.FieldError{Field: "data_centre", Value: string(v.DataCentre), Allowed: "1 to 128 bytes"}
	}
	if v.State > bulrushchute.StateLeaving {
		return &bulrushchute.FieldError{Field: "state", Value: v.State.String(), Allowed: "starting, cold, ready or leaving"}
	}
	return nil
}

// suspicion is a decoded suspicion record: another node suspects a member or
// declares it dead, or a member declares that it has left.
type suspicion struct {
	id          bulrushchute.InstanceID
	incarnation uint64
	rank        uint64
	monitor     uint32
	// learnedAt is when this node first received a suspicion of this incarnation.
	learnedAt bulrushchute.Millis
	// confirmedAt is when this node learned that the member is dead.
	confirmedAt bulrushchute.Millis
	// diedAt is when the confirming monitor marked the member dead, on the
	// monitor's clock.
	diedAt bulrushchute.Millis
	// dc is the data centre of a removed member.
	dc *dataCentre
}

// left reports whether the member published the record itself because it left.
func (s *suspicion) left() bool {
	return s.monitor == monitorHash(s.id)
}

func monitorHash(id bulrushchute.InstanceID) uint32 {
	return uint32(xxhash.Sum64String(string(id)))
}

// suspicionRecord returns the record of a suspicion. It contains at, the time of
// death, only if the rank is rankDead.
func suspicionRecord(id, monitor bulrushchute.InstanceID, incarnation, rank uint64, at bulrushchute.Millis) bulrushchute.Record {
	record := bulrushchute.Record{
		Key: suspicionKey(id),
		Version: bulrushchute.RecordVersion{
			Epoch:   incarnation,
			Counter: rank<<rankShift | uint64(monitorHash(monitor)),
		},
	}
	if rank == rankDead {
		record.Value = binary.BigEndian.AppendUint64(nil, uint64(at))
	}
	return record
}

// decodeSuspicion decodes a suspicion record. It returns false if the record is
// invalid.
func decodeSuspicion(record bulrushchute.Record) (suspicion, bool) {
	id, ok := suspicionSubject(record.Key)
	s := suspicion{
		id:          id,
		incarnation: record.Version.Epoch,
		rank:        record.Version.Counter >> rankShift,
		monitor:     uint32(record.Version.Counter),
	}
	if !ok || id == "" {
		return s, false
	}
	switch s.rank {
	case rankSuspect:
		return s, len(record.Value) == 0
	case rankDead:
		if len(record.Value) != 8 {
			return s, false
		}
		s.diedAt = bulrushchute.Millis(binary.BigEndian.Uint64(record.Value))
		return s, true
	}
	return s, false
}
