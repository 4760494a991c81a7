// Package bulrushmemory limits the memory that large messages take together.
//
// Each message has a limit of its own, but a node handles many at a time: a backend
// server that sends long answers, or bytes without an end, to all requests would fill the
// node's memory with as many of them as it has slots.
package bulrushmemory

import (
	"context"
	"sync"

	"golang.org/x/sync/semaphore"
)

// Limits of a Budget, in bytes.
type Limits struct {
	// MediumBytes is the maximum size of a medium message.
	MediumBytes int64
	// MediumTotal and LargeTotal are what medium messages, and larger ones, may take
	// together.
	MediumTotal, LargeTotal int64
}

// Budget has one pool of bytes for medium messages and one for large ones, so that a few
// large messages do not hold up many medium ones. Reservations wait in the order in which
// they ask. It is safe for concurrent use.
type Budget struct {
	limits        Limits
	medium, large *semaphore.Weighted
}

// NewBudget returns a budget of which nothing is reserved.
func NewBudget(limits Limits) *Budget {
	return &Budget{limits: limits, medium: semaphore.NewWeighted(limits.MediumTotal), large: semaphore.NewWeighted(limits.LargeTotal)}
}

// Reserve waits until the bytes are free. More than a pool counts as the whole pool. The
// error is that of the context.
func (b *Budget) Reserve(ctx context.Context, bytes int64) (*Reservation, error) {
	pool, total := b.medium, b.limits.MediumTotal
	if bytes > b.limits.MediumBytes {
		pool, total = b.large, b.limits.LargeTotal
	}
	bytes = min(bytes, total)
	if err := pool.Acquire(ctx, bytes); err != nil {
		return nil, err
	}
	return &Reservation{budget: b, pool: pool, bytes: bytes}, nil
}

// ReserveUnknown reserves for a message of unknown size, which is a medium one until Grow.
func (b *Budget) ReserveUnknown(ctx context.Context) (*Reservation, error) {
	return b.Reserve(ctx, b.limits.MediumBytes)
}

// MediumBytes returns the maximum size of a medium message.
func (b *Budget) MediumBytes() int64 {
	return b.limits.MediumBytes
}

// Reservation is a part of a budget that a message has.
type Reservation struct {
	budget *Budget
	mutex  sync.Mutex
	pool   *semaphore.Weighted
	bytes  int64
}

// Grow exchanges the reservation of a medium message for that of a large one. It waits for
// large messages only, and these wait for no other memory, so that no two messages wait for
// each other.
func (r *Reservation) Grow(ctx context.Context, bytes int64) error {
	grown, err := r.budget.Reserve(ctx, max(bytes, r.budget.limits.MediumBytes+1))
	if err != nil {
		return err
	}
	r.Release()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.pool, r.bytes = grown.pool, grown.bytes
	return nil
}

// Shrink frees what exceeds the given bytes.
func (r *Reservation) Shrink(bytes int64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if bytes < r.bytes {
		r.pool.Release(r.bytes - bytes)
		r.bytes = bytes
	}
}

// Release frees the reservation. Further calls have no effect.
func (r *Reservation) Release() {
	r.Shrink(0)
}

// Hold keeps reservations beyond the call that made them, until the message has been
// passed on. It is safe for concurrent use.
type Hold struct {
	mutex        sync.Mutex
	reservations []*Reservation
	released     bool
}

type holdKey struct{}

// WithHold returns a context with a hold.
func WithHold(ctx context.Context) (context.Context, *Hold) {
	hold := &Hold{}
	return context.WithValue(ctx, holdKey{}, hold), hold
}

// HoldOf returns the hold of a context, or nil.
func HoldOf(ctx context.Context) *Hold {
	hold, _ := ctx.Value(holdKey{}).(*Hold)
	return hold
}

// Keep keeps a reservation until Release. If the hold is nil or has been released, it is
// released at once.
func (h *Hold) Keep(reservation *Reservation) {
	if h == nil || !h.add(reservation) {
		reservation.Release()
	}
}

func (h *Hold) add(reservation *Reservation) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.released {
		return false
	}
	h.reservations = append(h.reservations, reservation)
	return true
}

// Release releases all reservations of the hold.
func (h *Hold) Release() {
	h.mutex.Lock()
	reservations := h.reservations
	h.reservations, h.released = nil, true
	h.mutex.Unlock()
	for _, reservation := range reservations {
		reservation.Release()
	}
}
