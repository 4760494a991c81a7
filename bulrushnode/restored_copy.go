package bulrushnode

import (
	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
)

// restoreHold is the time after the store was restored from a copy in which what
// the copy lacks does not count as deleted, because the operators write it again.
const restoreHold = 5 * bulrushchute.Second

// restoredCopy decides what a node takes from a store that was restored from a copy
// some seconds old.
//
// The catalogue in force never goes back to the copy: an object that the copy lacks
// stays, and so does a move order for which the copy has another one, until the
// operators have had time to write both again. A routing table of an earlier
// operator version is never taken, see recordVersionOf.
type restoredCopy struct {
	era uint64
	// firstSeenAt is when this node first saw the era.
	firstSeenAt bulrushchute.Millis
}

// observe records the era of a list.
func (rc *restoredCopy) observe(now bulrushchute.Millis, era uint64) {
	if era > rc.era {
		rc.era, rc.firstSeenAt = era, now
	}
}

// holds reports whether a difference between a list of the current era and an
// object known from a version is ignored for now.
func (rc *restoredCopy) holds(now bulrushchute.Millis, knownVersion uint64) bool {
	return bulrushchute.EraOf(knownVersion) < rc.era && now < rc.firstSeenAt+restoreHold
}

// recordVersionOf returns the version of an object's record. The operator's own
// version comes first, because a store that was restored from a copy gives out its
// revisions again.
func recordVersionOf(object bulrushchute.Object) bulrushchute.RecordVersion {
	return bulrushchute.RecordVersion{Epoch: object.OperatorVersion, Counter: object.Version}
}

// replacesOrder reports whether a listed object is a move order for another target
// than the one in force.
func replacesOrder(catalogue bulrushcatalogue.Set, object bulrushchute.Object) bool {
	if object.Kind != bulrushchute.KindMoveOrders {
		return false
	}
	order, err := bulrushcatalogue.ParseMoveOrder(object.Value)
	known := catalogue.OrderedMove(bulrushchute.Service(object.Name))
	return err == nil && known != nil && known.ToVersion != order.ToVersion
}
