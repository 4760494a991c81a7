package bulrushstore

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"

	"bulrushchute.example/bulrushchute"
)

// Default values of LeaseSettings.
const (
	DefaultLeaseDuration      = 10 * bulrushchute.Second
	DefaultLeaseRenewInterval = 3 * bulrushchute.Second
	DefaultLeaseClockMargin   = bulrushchute.Second
)

// LeaseSettings configure a Lease.
type LeaseSettings struct {
	// Name is the name of the lease object, which has the kind leases.
	Name string
	// Holder identifies this node in the lease record.
	Holder bulrushchute.InstanceID
	// Duration is the validity of a renewal, counted from the time at which it
	// was sent.
	Duration bulrushchute.Millis
	// RenewInterval is the time between two renewals.
	RenewInterval bulrushchute.Millis
	// ClockMargin is the time that a contender waits beyond Duration, to allow
	// for clock drift and for clocks that are adjusted during the wait.
	ClockMargin bulrushchute.Millis
}

// leaseRecord is the value of a lease object. Unlike a bulrushchute.Record, it
// exists only in the store.
type leaseRecord struct {
	// Holder is empty after the lease has been released.
	Holder     bulrushchute.InstanceID `json:"holder"`
	Epoch      uint64                  `json:"epoch"`
	DurationMs bulrushchute.Millis     `json:"duration_ms"`
	// Renewal counts the holder's writes, so that each record is distinct.
	Renewal uint64 `json:"renewal"`
}

// Lease is one node's view of a lease that at most one node holds at a time.
// Contenders do not compare their clocks with the holder's: each waits until it
// has observed the record unchanged for its duration plus ClockMargin. The
// holder counts the duration from the time at which it sent its last successful
// renewal, so that the lease expires in time even if the holder is paused. A
// term lasts from an acquisition until the lease expires or is released, or until
// a write fails because the record was changed or deleted. A Lease is safe for
// concurrent use.
type Lease struct {
	store    bulrushchute.Store
	clock    bulrushchute.Clock
	settings LeaseSettings

	// callMu serialises calls to the store and guards renewals, observed, object,
	// observedAt and exists; mu guards epoch, era, expiresAt and voidSince.
	callMu sync.Mutex
	mu     sync.Mutex
	// epoch is the epoch of the current term, 0 if there is none.
	epoch uint64
	// era is that of the last version of the object that a write of this term created.
	era       uint64
	expiresAt bulrushchute.Millis
	// voidSince is when this node learned that the store was restored from a copy,
	// 0 if it never was.
	voidSince bulrushchute.Millis
	renewals  uint64
	// observed is the record as last read or written.
	observed leaseRecord
	// object is the store object that contains observed.
	object bulrushchute.Object
	// observedAt is the time of the response in which this version of the object
	// first appeared, or of the last failed read since.
	observedAt bulrushchute.Millis
	// exists is false if the object was absent at the last read.
	exists bool
}

// NewLease returns a lease that is not held. Zero durations in the settings are
// replaced by the defaults.
func NewLease(store bulrushchute.Store, clock bulrushchute.Clock, settings LeaseSettings) *Lease {
	if settings.Duration == 0 {
		settings.Duration = DefaultLeaseDuration
	}
	if settings.RenewInterval == 0 {
		settings.RenewInterval = DefaultLeaseRenewInterval
	}
	if settings.ClockMargin == 0 {
		settings.ClockMargin = DefaultLeaseClockMargin
	}
	return &Lease{store: store, clock: clock, settings: settings}
}

// Held reports whether this node holds the lease now, and the epoch of its term.
// The epoch increases with each term and acts as a fencing token for the
// conditional updates that the holder makes: work that was started under an
// older epoch must not be completed.
func (l *Lease) Held() (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.heldLocked() {
		return 0, false
	}
	return l.epoch, true
}

// Token returns the fencing token of the current term, and reports whether this node
// holds the lease now. It consists of the era of the store and the epoch of the term, so
// that it also increases when the store is restored from a copy with an earlier epoch.
func (l *Lease) Token() (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.heldLocked() {
		return 0, false
	}
	return bulrushchute.StoreVersion(l.era, l.epoch), true
}

// ExpiresAt returns the time at which the lease expires unless it is renewed,
// and reports whether this node holds it now.
func (l *Lease) ExpiresAt() (bulrushchute.Millis, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.expiresAt, l.heldLocked()
}

// heldLocked reports whether this node holds the lease now. The caller must have
// locked l.mu.
func (l *Lease) heldLocked() bool {
	return l.epoch != 0 && l.clock.Now() < l.expiresAt
}

// AcquireOrRenew tries once to acquire or renew the lease and reports whether
// this node holds it. After an error, an earlier renewal may still be valid.
func (l *Lease) AcquireOrRenew(ctx context.Context) (bool, error) {
	l.callMu.Lock()
	defer l.callMu.Unlock()
	err := l.acquireOrRenew(ctx)
	_, held := l.Held()
	return held, err
}

func (l *Lease) acquireOrRenew(ctx context.Context) error {
	if epoch, held := l.Held(); held {
		return l.claim(ctx, epoch)
	}
	l.endTerm()
	if err := l.readRecord(ctx); err != nil {
		return err
	}
	if !l.voidEnded() || l.exists && !l.acquirable() {
		return nil
	}
	return l.claim(ctx, l.observed.Epoch+1)
}

// Void ends the term because the store was restored from a copy. The copy does not
// show who held the lease last, so no record of it lets this node acquire the lease
// before a term that was begun until now has expired.
func (l *Lease) Void() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.epoch = 0
	l.voidSince = l.clock.Now()
}

// voidEnded reports whether every term from before the last restore has expired.
func (l *Lease) voidEnded() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.voidSince == 0 || l.clock.Now() >= l.voidSince+l.settings.Duration+l.settings.ClockMargin
}

// acquirable reports whether the observed record lets this node acquire the
// lease. It is called only while this node does not hold the lease, so a record
// that names this node is from an expired term.
func (l *Lease) acquirable() bool {
	if l.observed.Holder == "" || l.observed.Holder == l.settings.Holder {
		return true
	}
	return l.clock.Now() >= l.observedAt+l.observed.DurationMs+l.settings.ClockMargin
}

func (l *Lease) endTerm() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.epoch = 0
}

// readRecord updates the observed record from the store. A version that is not
// newer than the known one, such as that of a stale read, changes nothing.
func (l *Lease) readRecord(ctx context.Context) error {
	object, err := l.store.Get(ctx, bulrushchute.KindLeases, l.settings.Name)
	var notFound *bulrushchute.NotFoundError
	if errors.As(err, &notFound) {
		l.exists = false
		return nil
	}
	if err != nil {
		// While the store does not answer, the holder cannot renew the lease either.
		l.observedAt = l.clock.Now()
		return err
	}
	return l.observe(object)
}

func (l *Lease) observe(object bulrushchute.Object) error {
	if l.exists && object.Version <= l.object.Version {
		return nil
	}
	var record leaseRecord
	if err := json.Unmarshal(object.Value, &record); err != nil {
		return errors.Wrapf(err, "decode lease %s", l.settings.Name)
	}
	l.observed, l.object, l.exists = record, object, true
	l.observedAt = l.clock.Now()
	return nil
}

// claim writes a record that names this node as the holder in the given epoch,
// which acquires or renews the lease. The duration is counted from before the
// write is sent.
func (l *Lease) claim(ctx context.Context, epoch uint64) error {
	sentAt := l.clock.Now()
	l.renewals++
	record := leaseRecord{
		Holder:     l.settings.Holder,
		Epoch:      epoch,
		DurationMs: l.settings.Duration,
		Renewal:    l.renewals,
	}
	err := l.writeRecord(ctx, record)
	var ambiguous *bulrushchute.AmbiguousError
	if errors.As(err, &ambiguous) {
		err = l.confirmWrite(ctx, record, err)
	}
	if err != nil {
		return l.handleWriteError(ctx, err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if sentAt <= l.voidSince {
		// The store was restored during the call.
		return nil
	}
	l.epoch = epoch
	l.era = bulrushchute.EraOf(l.object.Version)
	l.expiresAt = sentAt + l.settings.Duration
	return nil
}

func (l *Lease) writeRecord(ctx context.Context, record leaseRecord) error {
	value, err := json.Marshal(record)
	if err != nil {
		return errors.Wrap(err, "encode lease")
	}
	object := bulrushchute.Object{Kind: bulrushchute.KindLeases, Name: l.settings.Name, Value: value}
	if l.exists {
		object, err = l.store.Update(ctx, l.object.WithValue(value))
	} else {
		object, err = l.store.Create(ctx, object)
	}
	if err != nil {
		return err
	}
	return l.observe(object)
}

// confirmWrite reads the record back after a write whose response was lost. It
// returns writeErr if the write has not taken effect.
func (l *Lease) confirmWrite(ctx context.Context, record leaseRecord, writeErr error) error {
	if err := l.readRecord(ctx); err != nil {
		return err
	}
	if !l.exists || l.observed != record {
		return writeErr
	}
	return nil
}

// handleWriteError ends the term if the error shows that the record has changed.
// The conflict may be with an earlier renewal of the same term, whose response
// was lost and which took effect later; such a conflict does not end the term.
func (l *Lease) handleWriteError(ctx context.Context, cause error) error {
	var notFound *bulrushchute.NotFoundError
	if !bulrushchute.LostRace(cause) && !errors.As(cause, &notFound) {
		return cause
	}
	if err := l.readRecord(ctx); err != nil {
		l.endTerm()
		return err
	}
	own := l.exists && l.observed.Holder == l.settings.Holder && l.observed.Epoch == l.epoch
	if !own {
		l.endTerm()
	}
	return cause
}

// Release gives up the lease, so that another node can acquire it immediately.
func (l *Lease) Release(ctx context.Context) error {
	l.callMu.Lock()
	defer l.callMu.Unlock()
	epoch, held := l.Held()
	l.endTerm()
	if !held {
		return nil
	}
	return l.writeRecord(ctx, leaseRecord{Epoch: epoch, DurationMs: l.settings.Duration})
}

// Run calls AcquireOrRenew every RenewInterval until the context ends, then
// releases the lease. It calls onChange with the new epoch whenever the epoch
// changes, 0 meaning that the lease is not held, and onError with each error.
// The holder must still call Held before each step of its work, because the
// goroutine of Run may be paused.
func (l *Lease) Run(ctx context.Context, onChange func(epoch uint64), onError func(error)) {
	ticker := time.NewTicker(l.settings.RenewInterval.Duration())
	defer ticker.Stop()
	var last uint64
	notify := func() {
		epoch, _ := l.Held()
		if epoch != last {
			last = epoch
			onChange(epoch)
		}
	}
	for {
		if _, err := l.AcquireOrRenew(ctx); err != nil && ctx.Err() == nil {
			onError(err)
		}
		notify()
		select {
		case <-ticker.C:
			notify()
		case <-ctx.Done():
			l.releaseOnExit(ctx, onError)
			notify()
			return
		}
	}
}

func (l *Lease) releaseOnExit(ctx context.Context, onError func(error)) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), DefaultTimeout.Duration())
	defer cancel()
	if err := l.Release(ctx); err != nil {
		onError(err)
	}
}
