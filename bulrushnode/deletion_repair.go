package bulrushnode

import (
	"context"

	"k8s.io/klog/v2"

	"bulrushchute.example/bulrushchute"
)

// deletionRepair finds catalogue records that are deleted although their objects exist in
// the store, and brings them back.
//
// Nothing else does, because the version of such a deletion is not earlier than the
// object's. A node of an earlier release spreads one if a watch of the platform's store
// reports the removal of an object and its next creation together.
type deletionRepair struct {
	// found counts the false deletions since the start.
	found uint64
	// pending holds the versions of false deletions that no version can replace yet.
	pending map[bulrushchute.RecordKey]bulrushchute.RecordVersion
}

// isFalseDeletion reports whether a deletion cannot have taken place: a consistent list
// at a revision that is not before the deletion has the object, whose last change is not
// after it.
func isFalseDeletion(record bulrushchute.Record, listed bulrushchute.Object, revision uint64) bool {
	return record.Deleted && listed.Version <= record.Version.Counter && record.Version.Counter <= revision
}

// repairsOfList returns the listed objects whose records are falsely deleted, with the
// revision of the consistent list as their version: at that revision the objects are
// unchanged, and any later change has a later version. A deletion at the revision itself
// has to wait for a list after the store's next change.
func (c *control) repairsOfList(objects []bulrushchute.Object, revision uint64) []bulrushchute.StoreEvent {
	var repairs []bulrushchute.StoreEvent
	for _, object := range objects {
		key, replicated := recordKeyOf(object)
		// Key maps are never deleted, and are updated under the version of their record.
		if !replicated || key.Topic != bulrushchute.TopicCatalogue || object.Unreadable || isStrayRouting(object) {
			continue
		}
		record, exists := c.membership.Table().Get(key)
		if !exists || !isFalseDeletion(record, object, revision) {
			continue
		}
		repaired := object
		repaired.Version = revision
		replaced := record.Version.Less(recordVersionOf(repaired))
		if replaced {
			repairs = append(repairs, bulrushchute.StoreEvent{Object: repaired})
		}
		if c.deletionRepair.observe(record, replaced) {
			klog.InfoS("deleted catalogue entry exists in the store", "kind", object.Kind, "name", object.Name,
				"deleted_version", record.Version.Counter, "stored_version", object.Version, "revision", revision, "repaired", replaced)
		}
	}
	return repairs
}

// observe counts a false deletion, and reports whether there is news of it.
func (dr *deletionRepair) observe(record bulrushchute.Record, replaced bool) bool {
	version, known := dr.pending[record.Key]
	known = known && version == record.Version
	if !known {
		dr.found++
	}
	if replaced {
		delete(dr.pending, record.Key)
		return true
	}
	dr.pending[record.Key] = record.Version
	return !known
}

// publishConsistentList is publishList for a list that is not stale. It also repairs false
// deletions.
func (r *reader) publishConsistentList(ctx context.Context, kind bulrushchute.Kind, objects []bulrushchute.Object, revision uint64) bool {
	var repairs []bulrushchute.StoreEvent
	r.node.control.do(ctx, func(bulrushchute.Millis) { repairs = r.node.control.repairsOfList(objects, revision) })
	r.publish(ctx, repairs)
	return r.publishList(ctx, kind, objects, revision)
}
