package bulrushcaller

import (
	"context"

	"bulrushchute.example/bulrushchute/bulrushmemory"
)

// requestAllowance is the part of a request that is not charged to the account, for one
// request of each connection at a time. It is enough for ordinary requests, which therefore
// never wait for memory.
const requestAllowance = 16 << 10

// reservation is the memory that a request takes while it is read. What exceeds allowance is
// charged to the account.
type reservation struct {
	account   *bulrushmemory.Account
	allowance int64
	share     *bulrushmemory.Share
	// evict ends the reading of the request when it makes no progress. It is in force while
	// reading is set: a request that waits for others is not the slow one.
	evict   func()
	reading bool
}

func newReservation(account *bulrushmemory.Account, evict func()) *reservation {
	return &reservation{account: account, allowance: requestAllowance, evict: evict, reading: true}
}

// ensure enlarges the reservation to a number of bytes. It waits for a short time if there
// is no room, and returns a *bulrushmemory.FullError then.
func (r *reservation) ensure(ctx context.Context, bytes int64) error {
	charged := bytes - r.allowance
	switch {
	case charged <= 0:
		return nil
	case r.share != nil:
		return r.share.Grow(ctx, charged)
	}
	share, err := r.account.Reserve(ctx, charged)
	if err != nil {
		return err
	}
	r.use(share)
	return nil
}

// tryWithoutAllowance is like ensure, but charges everything and does not wait.
func (r *reservation) tryWithoutAllowance(bytes int64) bool {
	if r.share != nil {
		if !r.share.TryGrow(bytes) {
			return false
		}
	} else {
		share := r.account.TryReserve(bytes)
		if share == nil {
			return false
		}
		r.use(share)
	}
	r.allowance = 0
	return true
}

func (r *reservation) use(share *bulrushmemory.Share) {
	r.share = share
	if r.reading {
		share.BeginArrival(r.evict)
	}
}

// pause states that nothing is read for the request.
func (r *reservation) pause() {
	r.reading = false
	r.share.EndArrival()
}

// resume states that the request is read again.
func (r *reservation) resume() {
	r.reading = true
	r.share.BeginArrival(r.evict)
}

// arrived states that bytes of the request have arrived.
func (r *reservation) arrived(bytes int) {
	r.share.Arrived(bytes)
}

// shrink returns what exceeds a number of bytes.
func (r *reservation) shrink(bytes int64) {
	r.share.Shrink(max(0, bytes-r.allowance))
}

// finish ends the reading of the request, and returns the share that it keeps, or nil.
func (r *reservation) finish() *bulrushmemory.Share {
	r.pause()
	return r.share
}

// release ends the reservation of a request that is not served.
func (r *reservation) release() {
	r.finish().Release()
}
