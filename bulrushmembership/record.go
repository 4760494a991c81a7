package bulrushmembership

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"bulrushchute.example/bulrushchute"
)

// A member's own record is written by that member alone. What monitors say of
// it is a second record, which is small enough to be sent inline: a full
// record for each suspicion would exceed the budget when a rack is lost.

// suspicionPrefix starts the names of records that monitors write.
const suspicionPrefix = "~"

// Ranks of a suspicion, the high half of the version's counter. The low half is a hash of
// the monitor, so that two monitors never write the same version.
const (
	rankSuspect = 1
	rankDead    = 2
	rankShift   = 32
)

// maxFieldBytes bounds the text fields of a member record.
const maxFieldBytes = 128

// memberValue is the value of a member's own record. The id and the
// incarnation are in the record's key and version.
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

// suspected returns the member that a suspicion record is about.
func suspected(key bulrushchute.RecordKey) (bulrushchute.InstanceID, bool) {
	id, ok := strings.CutPrefix(key.Name, suspicionPrefix)
	return bulrushchute.InstanceID(id), ok
}

// encodeMember makes the record of a member. Counter orders the member's own
// changes within one incarnation.
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

// suspicion is what monitors say of a member.
type suspicion struct {
	id          bulrushchute.InstanceID
	incarnation uint64
	rank        uint64
	monitor     uint32
	// learned is when this node first heard of the suspicion of this incarnation.
	learned bulrushchute.Millis
	// confirmed is when this node heard that the member is dead.
	confirmed bulrushchute.Millis
	// died is when the confirming monitor, by its clock, marked the member dead.
	died bulrushchute.Millis
	// home is the data centre that the member was removed from.
	home *dataCentre
}

// withdrawn reports whether the member itself published that it has left.
func (s *suspicion) withdrawn() bool {
	return s.monitor == monitorHash(s.id)
}

func monitorHash(id bulrushchute.InstanceID) uint32 {
	return uint32(xxhash.Sum64String(string(id)))
}

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

// decodeSuspicion returns false for a record that no monitor writes.
func decodeSuspicion(record bulrushchute.Record) (suspicion, bool) {
	id, ok := suspected(record.Key)
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
		s.died = bulrushchute.Millis(binary.BigEndian.Uint64(record.Value))
		return s, true
	}
	return s, false
}
