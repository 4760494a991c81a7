package bulrushmemory

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
)

// manualClock is a clock that a test sets.
type manualClock struct {
	mutex sync.Mutex
	now   bulrushchute.Millis
}

func (mc *manualClock) Now() bulrushchute.Millis {
	mc.mutex.Lock()
	defer mc.mutex.Unlock()
	return mc.now
}

func (mc *manualClock) advance(duration bulrushchute.Millis) {
	mc.mutex.Lock()
	defer mc.mutex.Unlock()
	mc.now += duration
}

func ExampleAccount() {
	account := NewAccount(100, bulrushchute.NewMonotonicClock())
	share, err := account.Reserve(context.Background(), 60)
	fmt.Println(err)
	_, err = account.Reserve(context.Background(), 60)
	fmt.Println(err)
	share.Release()
	_, err = account.Reserve(context.Background(), 60)
	fmt.Println(err)
	// Output:
	// <nil>
	// no room for 60 of 100 bytes
	// <nil>
}

// Guards against shares that return more or less than they have.
func TestSharesAreReturned(t *testing.T) {
	cases := map[string]func(t *testing.T, share *Share){
		"released": func(_ *testing.T, share *Share) { share.Release() },
		"two holders": func(_ *testing.T, share *Share) {
			share.Hold()
			share.Release()
			share.Release()
		},
		"shrunk": func(_ *testing.T, share *Share) {
			share.Shrink(10)
			share.Shrink(20)
			share.Release()
		},
		"grown": func(t *testing.T, share *Share) {
			assert.NilError(t, share.Grow(t.Context(), 90))
			assert.Assert(t, share.TryGrow(100))
			assert.Assert(t, !share.TryGrow(101))
			share.Release()
		},
		"not grown": func(t *testing.T, share *Share) {
			var full *FullError
			assert.Assert(t, errors.As(share.Grow(t.Context(), 101), &full))
			share.Release()
		},
	}
	for name, use := range cases {
		t.Run(name, func(t *testing.T) {
			account := NewAccount(100, bulrushchute.NewMonotonicClock())
			share := account.TryReserve(50)
			use(t, share)
			all := account.TryReserve(100)
			assert.Assert(t, all != nil, "something is still reserved")
			assert.Assert(t, account.TryReserve(1) == nil, "too much was returned")
		})
	}
}

// Guards against messages that hold memory which others need although nothing of them
// arrives any more, and against cutting one that arrives steadily.
func TestStalledMessagesGiveWay(t *testing.T) {
	cases := map[string]struct {
		// arrivals are the bytes that arrive, each 100 ms after the ones before.
		arrivals []int
		evicted  bool
	}{
		"nothing yet":         {arrivals: nil, evicted: false},
		"steady":              {arrivals: []int{4 << 10, 4 << 10, 4 << 10, 4 << 10, 4 << 10, 4 << 10, 4 << 10, 4 << 10, 4 << 10, 4 << 10, 4 << 10}, evicted: false},
		"stops":               {arrivals: []int{1 << 20, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0}, evicted: true},
		"a byte now and then": {arrivals: []int{1 << 20, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1}, evicted: true},
		"never begins":        {arrivals: []int{0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0}, evicted: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			clock := &manualClock{now: 1}
			account := NewAccount(100, clock)
			share := account.TryReserve(60)
			evicted := false
			share.BeginArrival(func() { evicted = true })
			for _, bytes := range c.arrivals {
				clock.advance(100)
				if bytes > 0 {
					share.Arrived(bytes)
				}
			}
			account.evictStalled(60)
			assert.Equal(t, evicted, c.evicted)
		})
	}
}

// Guards against evicting messages that have arrived, and more than are needed.
func TestEvictsNoMoreThanNeeded(t *testing.T) {
	clock := &manualClock{now: 1}
	account := NewAccount(100, clock)
	evictions := 0
	for range 3 {
		account.TryReserve(20).BeginArrival(func() { evictions++ })
	}
	arrived := account.TryReserve(40)
	arrived.BeginArrival(func() { t.Error("a message that has arrived was evicted") })
	arrived.EndArrival()
	clock.advance(2 * progressWindow)
	account.evictStalled(30)
	assert.Equal(t, evictions, 2)
}
