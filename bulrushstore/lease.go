package bulrushstore

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"

	"bulrushchute.example/bulrushchute"
)

// Defaults of LeaseSettings.
const (
	DefaultLeaseDuration = 10 * bulrushchute.Second
	DefaultLeaseRenew    = 3 * bulrushchute.Second
	DefaultLeaseMargin   = bulrushchute.Second
)

// LeaseSettings describe one lease.
type LeaseSettings struct {
	// Name is the name of the lease's object, of kind leases.
	Name string
	// Holder is this node.
	Holder bulrushchute.InstanceID
	// Duration is how long one renewal lasts, from the time at which it was sent.
	Duration bulrushchute.Millis
	// RenewEvery is the time between two renewals.
	RenewEvery bulrushchute.Millis
	// Margin is how much longer than Duration a contender waits, to allow for
	// clocks that run at different rates or are corrected meanwhile.
	Margin bulrushchute.Millis
}

// leaseRecord is the value of a lease's object.
type leaseRecord struct {
	// Holder is empty when the lease was released.
	Holder     bulrushchute.InstanceID `json:"holder"`
	Epoch      uint64                  `json:"epoch"`
	DurationMs bulrushchute.Millis     `json:"duration_ms"`
	// Renewal counts the holder's writes, so that each has its own value.
	Renewal uint64 `json:"renewal"`
}

// Lease is one node's view of a lease that at most one node holds. Contenders
// do not compare clocks: each waits until it has seen the record unchanged
// for its duration. The holder counts from the time at which it sent its last
// successful renewal, so that a pause ends the lease in time. It is safe for
// concurrent use.
type Lease struct {
	store    bulrushchute.Store
	clock    bulrushchute.Clock
	settings LeaseSettings

	// step serialises calls to the store; mu guards the fields below.
	step sync.Mutex
	mu   sync.Mutex
	// epoch is that of the current tenure, 0 when there is none.
	epoch   uint64
	until   bulrushchute.Millis
	renewal uint64
	// seen is the record as last read or written, and seenAt the time of the
	// answer in which its version first appeared.
	seen   leaseRecord
	object bulrushchute.Object
	seenAt bulrushchute.Millis
	known  bool
}

// NewLease returns a lease that is not held. Times that are 0 take the defaults.
func NewLease(store bulrushchute.Store, clock bulrushchute.Clock, settings LeaseSettings) *Lease {
	if settings.Duration == 0 {
		settings.Duration = DefaultLeaseDuration
	}
	if settings.RenewEvery == 0 {
		settings.RenewEvery = DefaultLeaseRenew
	}
	if settings.Margin == 0 {
		settings.Margin = DefaultLeaseMargin
	}
	return &Lease{store: store, clock: clock, settings: settings}
}

// Held reports whether the lease is held at this instant, and its epoch. The
// epoch grows with each holder and fences conditional updates that the holder
// makes: work that began under an older epoch must not be completed.
func (l *Lease) Held() (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.heldNow() {
		return 0, false
	}
	return l.epoch, true
}

// Until returns the instant at which the lease ends unless it is renewed, and
// whether it is held now.
func (l *Lease) Until() (bulrushchute.Millis, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.until, l.heldNow()
}

// heldNow is Held for a caller that has the lock.
func (l *Lease) heldNow() bool {
	return l.epoch != 0 && l.clock.Now() < l.until
}

// Step makes one attempt to acquire or renew the lease and reports whether it
// is held. An error says why nothing changed; the lease may still be held.
func (l *Lease) Step(ctx context.Context) (bool, error) {
	l.step.Lock()
	defer l.step.Unlock()
	err := l.advance(ctx)
	_, held := l.Held()
	return held, err
}

func (l *Lease) advance(ctx context.Context) error {
	if epoch, held := l.Held(); held {
		return l.put(ctx, epoch)
	}
	l.lapse()
	if err := l.read(ctx); err != nil {
		return err
	}
	if l.known && !l.vacant() {
		return nil
	}
	return l.put(ctx, l.seen.Epoch+1)
}

// vacant reports whether the record that was read permits a new holder. A
// record that names this node but that it does not hold has lapsed.
func (l *Lease) vacant() bool {
	if l.seen.Holder == "" || l.seen.Holder == l.settings.Holder {
		return true
	}
	return l.clock.Now() >= l.seenAt+l.seen.DurationMs+l.settings.Margin
}

func (l *Lease) lapse() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.epoch = 0
}

// read refreshes the record. A version that is already known keeps its time.
func (l *Lease) read(ctx context.Context) error {
	object, err := l.store.Get(ctx, bulrushchute.KindLeases, l.settings.Name)
	var notFound *bulrushchute.NotFoundError
	if errors.As(err, &notFound) {
		l.known = false
		return nil
	}
	if err != nil {
		return err
	}
	return l.observe(object)
}

func (l *Lease) observe(object bulrushchute.Object) error {
	if l.known && object.Version <= l.object.Version {
		return nil
	}
	var record leaseRecord
	if err := json.Unmarshal(object.Value, &record); err != nil {
		return errors.Wrapf(err, "lease %s", l.settings.Name)
	}
	l.seen, l.object, l.known = record, object, true
	l.seenAt = l.clock.Now()
	return nil
}

// put writes a renewal under an epoch. The lease lasts from the time before
// the write was sent.
func (l *Lease) put(ctx context.Context, epoch uint64) error {
	sentAt := l.clock.Now()
	l.renewal++
	record := leaseRecord{
		Holder:     l.settings.Holder,
		Epoch:      epoch,
		DurationMs: l.settings.Duration,
		Renewal:    l.renewal,
	}
	err := l.write(ctx, record)
	var ambiguous *bulrushchute.AmbiguousError
	if errors.As(err, &ambiguous) {
		err = l.settle(ctx, record, err)
	}
	if err != nil {
		return l.lost(ctx, err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.epoch = epoch
	l.until = sentAt + l.settings.Duration
	return nil
}

func (l *Lease) write(ctx context.Context, record leaseRecord) error {
	value, err := json.Marshal(record)
	if err != nil {
		return errors.Wrap(err, "encode lease")
	}
	object := bulrushchute.Object{Kind: bulrushchute.KindLeases, Name: l.settings.Name, Value: value}
	if l.known {
		object, err = l.store.Update(ctx, l.object.WithValue(value))
	} else {
		object, err = l.store.Create(ctx, object)
	}
	if err != nil {
		return err
	}
	return l.observe(object)
}

// settle reads back whether a write whose answer was lost took effect.
func (l *Lease) settle(ctx context.Context, record leaseRecord, lost error) error {
	if err := l.read(ctx); err != nil {
		return err
	}
	if !l.known || l.seen != record {
		return lost
	}
	return nil
}

// lost ends the tenure when the error shows that the record has changed. A
// conflict with an earlier renewal of this tenure, whose answer was lost and
// which took effect later, ends nothing.
func (l *Lease) lost(ctx context.Context, cause error) error {
	var notFound *bulrushchute.NotFoundError
	if !bulrushchute.LostRace(cause) && !errors.As(cause, &notFound) {
		return cause
	}
	if err := l.read(ctx); err != nil {
		l.lapse()
		return err
	}
	own := l.known && l.seen.Holder == l.settings.Holder && l.seen.Epoch == l.epoch
	if !own {
		l.lapse()
	}
	return cause
}

// Release gives the lease up, so that another node may acquire it at once.
func (l *Lease) Release(ctx context.Context) error {
	l.step.Lock()
	defer l.step.Unlock()
	epoch, held := l.Held()
	l.lapse()
	if !held {
		return nil
	}
	return l.write(ctx, leaseRecord{Epoch: epoch, DurationMs: l.settings.Duration})
}

// Run calls Step every RenewEvery until the context ends, then releases the
// lease. It calls changed with the epoch whenever that changes, 0 meaning that
// the lease is not held, and failed with each error. A holder still checks
// Held before each step of its work, because Run itself may be paused.
func (l *Lease) Run(ctx context.Context, changed func(epoch uint64), failed func(error)) {
	ticker := time.NewTicker(l.settings.RenewEvery.Duration())
	defer ticker.Stop()
	var last uint64
	report := func() {
		epoch, _ := l.Held()
		if epoch != last {
			last = epoch
			changed(epoch)
		}
	}
	for {
		if _, err := l.Step(ctx); err != nil && ctx.Err() == nil {
			failed(err)
		}
		report()
		select {
		case <-ticker.C:
			report()
		case <-ctx.Done():
			l.releaseAtEnd(ctx, failed)
			report()
			return
		}
	}
}

func (l *Lease) releaseAtEnd(ctx context.Context, failed func(error)) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), DefaultTimeout.Duration())
	defer cancel()
	if err := l.Release(ctx); err != nil {
		failed(err)
	}
}
