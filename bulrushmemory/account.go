package bulrushmemory

import (
	"context"
	"fmt"
	"sync"

	"golang.org/x/sync/semaphore"

	"bulrushchute.example/bulrushchute"
)

const (
	// reserveTimeout is how long a reservation waits for others to be released. A caller
	// that is refused learns when to come back, which is better than to wait for longer.
	reserveTimeout = 500 * bulrushchute.Millisecond
	// stallCheckInterval is how often the waiting reservations look for stalled ones.
	stallCheckInterval = 100 * bulrushchute.Millisecond
	// progressWindow is the time over which the progress of a reservation is measured, and
	// minProgress the bytes that must arrive in it while others wait for memory.
	progressWindow = bulrushchute.Second
	minProgress    = 16 << 10
)

// FullError reports that no memory became free in time.
type FullError struct {
	// Bytes were asked for, of Total.
	Bytes, Total int64
}

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("no room for %d of %d bytes", e.Bytes, e.Total)
}

// Account is the memory that one side of a node may hold for others, all together. When it
// is used up, the messages that arrive too slowly give way to those that ask for memory. It
// is safe for concurrent use.
type Account struct {
	total int64
	pool  *semaphore.Weighted
	clock bulrushchute.Clock

	mutex sync.Mutex
	// arriving are the shares of messages of which a part has not arrived.
	arriving map[*Share]struct{}
}

// NewAccount returns an account of a number of bytes.
func NewAccount(total int64, clock bulrushchute.Clock) *Account {
	return &Account{total: total, pool: semaphore.NewWeighted(total), clock: clock, arriving: make(map[*Share]struct{})}
}

// TryReserve returns a share of the account, or nil if there is no room.
func (a *Account) TryReserve(bytes int64) *Share {
	if !a.pool.TryAcquire(bytes) {
		return nil
	}
	return &Share{account: a, bytes: bytes, holders: 1}
}

// Reserve returns a share of the account. If there is no room, it makes stalled messages
// give way, and waits for a short time. It returns a *FullError, or the error of the context.
func (a *Account) Reserve(ctx context.Context, bytes int64) (*Share, error) {
	if err := a.acquire(ctx, bytes); err != nil {
		return nil, err
	}
	return &Share{account: a, bytes: bytes, holders: 1}, nil
}

func (a *Account) acquire(ctx context.Context, bytes int64) error {
	if a.pool.TryAcquire(bytes) {
		return nil
	}
	giveUpAt := a.clock.Now() + reserveTimeout
	for bytes <= a.total && a.clock.Now() < giveUpAt {
		a.evictStalled(bytes)
		waitCtx, cancel := context.WithTimeout(ctx, stallCheckInterval.Duration())
		err := a.pool.Acquire(waitCtx, bytes)
		cancel()
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return &FullError{Bytes: bytes, Total: a.total}
}

// evictStalled makes stalled messages give way until they release the given bytes.
func (a *Account) evictStalled(bytes int64) {
	now := a.clock.Now()
	var evicted []*Share
	a.mutex.Lock()
	for share := range a.arriving {
		if bytes <= 0 {
			break
		}
		if share.progress.stalled(now) {
			bytes -= share.Size()
			delete(a.arriving, share)
			evicted = append(evicted, share)
		}
	}
	a.mutex.Unlock()
	for _, share := range evicted {
		share.evict()
	}
}

// Share is a part of an account. It is released when all of its holders have done so. A nil
// share is empty.
type Share struct {
	account *Account
	mutex   sync.Mutex
	bytes   int64
	holders int

	// progress and evict are guarded by the mutex of the account.
	progress progress
	evict    func()
}

// Size returns the bytes of the share.
func (s *Share) Size() int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.bytes
}

// TryGrow enlarges the share to a number of bytes, or returns false if there is no room.
func (s *Share) TryGrow(bytes int64) bool {
	more := bytes - s.Size()
	if more > 0 && !s.account.pool.TryAcquire(more) {
		return false
	}
	s.add(max(0, more))
	return true
}

// Grow enlarges the share to a number of bytes, as Reserve does.
func (s *Share) Grow(ctx context.Context, bytes int64) error {
	more := bytes - s.Size()
	if more <= 0 {
		return nil
	}
	if err := s.account.acquire(ctx, more); err != nil {
		return err
	}
	s.add(more)
	return nil
}

func (s *Share) add(bytes int64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.bytes += bytes
}

// Shrink returns what exceeds a number of bytes.
func (s *Share) Shrink(bytes int64) {
	if s == nil {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if bytes < s.bytes {
		s.account.pool.Release(s.bytes - bytes)
		s.bytes = bytes
	}
}

// Hold adds a holder.
func (s *Share) Hold() {
	if s == nil {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.holders++
}

// Release removes a holder.
func (s *Share) Release() {
	if s == nil {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.holders--
	if s.holders == 0 {
		s.account.pool.Release(s.bytes)
		s.bytes = 0
	}
}

// BeginArrival states that the message of the share is arriving. If others need memory and
// the message makes no progress, evict is called once, which must not block and must make
// the holders release the share.
func (s *Share) BeginArrival(evict func()) {
	if s == nil {
		return
	}
	s.account.mutex.Lock()
	defer s.account.mutex.Unlock()
	s.evict = evict
	s.progress = newProgress(s.account.clock.Now())
	s.account.arriving[s] = struct{}{}
}

// Arrived states that a part of the message has arrived.
func (s *Share) Arrived(bytes int) {
	if s == nil {
		return
	}
	s.account.mutex.Lock()
	defer s.account.mutex.Unlock()
	s.progress = s.progress.with(s.account.clock.Now(), bytes)
}

// EndArrival states that the message has arrived, or that its reader has given up.
func (s *Share) EndArrival() {
	if s == nil {
		return
	}
	s.account.mutex.Lock()
	defer s.account.mutex.Unlock()
	delete(s.account.arriving, s)
}

// progress measures how fast a message arrives.
type progress struct {
	windowStart, arrivedAt bulrushchute.Millis
	windowBytes            int
	// slow is set if too little arrived in the window before.
	slow bool
}

func newProgress(now bulrushchute.Millis) progress {
	return progress{windowStart: now, arrivedAt: now}
}

// with returns the progress after bytes have arrived.
func (p progress) with(now bulrushchute.Millis, bytes int) progress {
	if p.windowEnded(now) {
		p = progress{windowStart: now, slow: p.windowIsSlow(now)}
	}
	p.windowBytes += bytes
	p.arrivedAt = now
	return p
}

func (p progress) windowEnded(now bulrushchute.Millis) bool {
	return now-p.windowStart >= progressWindow
}

func (p progress) windowIsSlow(now bulrushchute.Millis) bool {
	return bulrushchute.Millis(p.windowBytes)*progressWindow < minProgress*(now-p.windowStart)
}

// stalled reports whether the message arrives too slowly to hold memory that others need.
func (p progress) stalled(now bulrushchute.Millis) bool {
	if now-p.arrivedAt >= progressWindow {
		return true
	}
	if p.windowEnded(now) {
		return p.windowIsSlow(now)
	}
	return p.slow
}

type shareKey struct{}

// WithShare returns a context with a share.
func WithShare(ctx context.Context, share *Share) context.Context {
	return context.WithValue(ctx, shareKey{}, share)
}

// ShareOf returns the share of a context, or nil.
func ShareOf(ctx context.Context) *Share {
	share, _ := ctx.Value(shareKey{}).(*Share)
	return share
}
