package bulrushnode

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushquarantine"
	"bulrushchute.example/bulrushchute/bulrushtask"
)

// quarantineRetryDelay is the delay after a failed call to the store.
const quarantineRetryDelay = time.Second

// storedQuarantine is the value of an object of KindQuarantines: the crashes of which
// the cause is known, as one node process observed them.
type storedQuarantine struct {
	Instance bulrushchute.InstanceID  `json:"instance"`
	Report   bulrushquarantine.Report `json:"report"`
}

// quarantineName returns the name of a node's object in the store.
func quarantineName(instance bulrushchute.InstanceID) string {
	return strings.NewReplacer("/", "-", ":", "-", "[", "", "]", "").Replace(string(instance))
}

// quarantineWriter writes the durable part of this node's report of crashes to the
// store. It changes only when a trial ends or a quarantine does, so calls to the
// store do not grow with the requests.
type quarantineWriter struct {
	store    bulrushchute.Store
	instance bulrushchute.InstanceID
	// object is the object as it was last written or read. Its Version is 0 if it
	// does not exist.
	object bulrushchute.Object
	// unsure is set after a failed call, when the object must be read again.
	unsure bool
}

// run writes each report from the channel, and repeats a failed write until it
// succeeds or a newer report arrives.
func (qw *quarantineWriter) run(ctx context.Context, reports <-chan bulrushquarantine.Report) error {
	for {
		var report bulrushquarantine.Report
		select {
		case <-ctx.Done():
			return nil
		case report = <-reports:
		}
		for len(reports) == 0 {
			err := qw.write(ctx, report)
			if err == nil || ctx.Err() != nil {
				break
			}
			klog.InfoS("quarantined contents not stored", "crashes", len(report.Crashes), "error", err)
			bulrushtask.Pause(ctx, quarantineRetryDelay)
		}
	}
}

func (qw *quarantineWriter) write(ctx context.Context, report bulrushquarantine.Report) error {
	if err := qw.reread(ctx); err != nil {
		return err
	}
	value, err := json.Marshal(storedQuarantine{Instance: qw.instance, Report: report})
	if err != nil {
		return errors.Wrap(err, "encode quarantined contents")
	}
	exists := qw.object.Version > 0
	object := bulrushchute.Object{Kind: bulrushchute.KindQuarantines, Name: quarantineName(qw.instance), Version: qw.object.Version, Value: value}
	// Any error leaves open whether the call has taken effect.
	qw.unsure = true
	switch {
	case len(report.Crashes) == 0 && !exists:
		object = bulrushchute.Object{}
	case len(report.Crashes) == 0:
		err = qw.store.Delete(ctx, object)
		object = bulrushchute.Object{}
	case exists:
		object, err = qw.store.Update(ctx, object)
	default:
		object, err = qw.store.Create(ctx, object)
	}
	if err != nil {
		return err
	}
	qw.object, qw.unsure = object, false
	return nil
}

// reread reads the object again if it is not known what the last call has done.
func (qw *quarantineWriter) reread(ctx context.Context) error {
	if !qw.unsure {
		return nil
	}
	object, err := qw.store.Get(ctx, bulrushchute.KindQuarantines, quarantineName(qw.instance))
	var notFound *bulrushchute.NotFoundError
	if err != nil && !errors.As(err, &notFound) {
		return err
	}
	qw.object, qw.unsure = object, false
	return nil
}

// readQuarantines reads the stored reports of crashes when this node becomes the first
// reader of its data centre, as after the loss of all nodes, and removes expired ones.
// Reports of nodes that are known are older than their records, and so are ignored.
func (r *reader) readQuarantines(ctx context.Context) error {
	for ctx.Err() == nil {
		if r.rank(ctx) == 0 {
			err := r.publishStoredQuarantines(ctx)
			if err == nil {
				return nil
			}
			klog.V(1).InfoS("quarantined contents not read", "error", err)
		}
		bulrushtask.Pause(ctx, quarantineRetryDelay)
	}
	return ctx.Err()
}

func (r *reader) publishStoredQuarantines(ctx context.Context) error {
	list := r.node.store.List
	if stale, ok := r.node.store.(bulrushchute.StaleLister); ok {
		list = stale.ListStale
	}
	objects, _, err := list(ctx, bulrushchute.KindQuarantines)
	if err != nil {
		return err
	}
	for _, object := range objects {
		stored, err := parseStoredQuarantine(object)
		if err != nil {
			klog.InfoS("quarantined contents not taken", "object", object.Name, "error", err)
			continue
		}
		if bulrushquarantine.Expired(r.node.clock.Now(), stored.Report.LastCrashAt()) {
			err := r.node.store.Delete(ctx, object)
			klog.V(1).InfoS("expired quarantine removed", "object", object.Name, "error", err)
			continue
		}
		r.node.control.do(ctx, func(now bulrushchute.Millis) { r.node.control.publishStoredQuarantine(now, stored) })
	}
	return nil
}

func parseStoredQuarantine(object bulrushchute.Object) (storedQuarantine, error) {
	var stored storedQuarantine
	if err := json.Unmarshal(object.Value, &stored); err != nil {
		return stored, errors.Wrap(err, "parse quarantined contents")
	}
	return stored, stored.Report.Check()
}

// publishStoredQuarantine publishes the report of a node process that has ended. Its
// version is lower than that of any record that the node itself published after the
// last crash.
func (c *control) publishStoredQuarantine(now bulrushchute.Millis, stored storedQuarantine) {
	if stored.Instance == c.id {
		return
	}
	value, err := stored.Report.Encode()
	if err != nil {
		klog.ErrorS(err, "report of crashes not published")
		return
	}
	c.membership.Table().Publish(now, bulrushchute.Record{
		Key:     bulrushchute.RecordKey{Topic: bulrushchute.TopicQuarantine, Name: string(stored.Instance)},
		Version: bulrushchute.RecordVersion{Counter: uint64(stored.Report.LastCrashAt())},
		Value:   value,
	})
}
