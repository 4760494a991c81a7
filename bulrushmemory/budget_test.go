package bulrushmemory

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// short is the time for which a reservation that must wait is watched.
const short = 20 * time.Millisecond

var testLimits = Limits{MediumBytes: 10, MediumTotal: 30, LargeTotal: 100}

func Example() {
	budget := NewBudget(testLimits)
	ctx, hold := WithHold(context.Background())
	reservation, err := budget.Reserve(ctx, 60)
	HoldOf(ctx).Keep(reservation)
	fmt.Println(err)

	waiting, cancel := context.WithTimeout(context.Background(), short)
	defer cancel()
	_, err = budget.Reserve(waiting, 60)
	fmt.Println(err)

	hold.Release()
	_, err = budget.Reserve(context.Background(), 60)
	fmt.Println(err)
	// Output:
	// <nil>
	// context deadline exceeded
	// <nil>
}

// assertFree checks that nothing of a budget is reserved, and not more is free than it has.
func assertFree(t *testing.T, budget *Budget) {
	for _, pool := range []struct{ count, bytes int64 }{{3, 10}, {1, 100}} {
		for range pool.count {
			_, err := budget.Reserve(t.Context(), pool.bytes)
			assert.NilError(t, err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), short)
		_, err := budget.Reserve(ctx, pool.bytes)
		cancel()
		assert.ErrorIs(t, err, context.DeadlineExceeded)
	}
}

// Guards against bytes that are freed twice or never, so that the budget grows or shrinks.
func TestReservationsAreFreedOnce(t *testing.T) {
	reserve := func(t *testing.T, ctx context.Context, budget *Budget, bytes int64) *Reservation {
		reservation, err := budget.Reserve(ctx, bytes)
		assert.NilError(t, err)
		return reservation
	}
	cases := map[string]func(t *testing.T, budget *Budget){
		"released twice": func(t *testing.T, budget *Budget) {
			reservation := reserve(t, t.Context(), budget, 60)
			reservation.Release()
			reservation.Release()
		},
		"shrunk": func(t *testing.T, budget *Budget) {
			reservation := reserve(t, t.Context(), budget, 10)
			reservation.Shrink(4)
			reservation.Shrink(7)
			reservation.Release()
		},
		"grown": func(t *testing.T, budget *Budget) {
			reservation, err := budget.ReserveUnknown(t.Context())
			assert.NilError(t, err)
			assert.NilError(t, reservation.Grow(t.Context(), 90))
			reservation.Shrink(20)
			reservation.Release()
		},
		"not grown": func(t *testing.T, budget *Budget) {
			other := reserve(t, t.Context(), budget, 60)
			reservation := reserve(t, t.Context(), budget, 10)
			ctx, cancel := context.WithTimeout(t.Context(), short)
			defer cancel()
			assert.ErrorIs(t, reservation.Grow(ctx, 60), context.DeadlineExceeded)
			reservation.Release()
			other.Release()
		},
		"kept twice": func(t *testing.T, budget *Budget) {
			ctx, hold := WithHold(t.Context())
			reservation := reserve(t, ctx, budget, 60)
			HoldOf(ctx).Keep(reservation)
			HoldOf(ctx).Keep(reservation)
			hold.Release()
			hold.Release()
		},
		"kept after the release": func(t *testing.T, budget *Budget) {
			ctx, hold := WithHold(t.Context())
			hold.Release()
			HoldOf(ctx).Keep(reserve(t, ctx, budget, 60))
		},
		"no hold": func(t *testing.T, budget *Budget) {
			HoldOf(t.Context()).Keep(reserve(t, t.Context(), budget, 60))
		},
		"more than the budget": func(t *testing.T, budget *Budget) {
			reserve(t, t.Context(), budget, 1000).Release()
		},
	}
	for name, use := range cases {
		t.Run(name, func(t *testing.T) {
			budget := NewBudget(testLimits)
			use(t, budget)
			assertFree(t, budget)
		})
	}
}

// Guards against messages of unknown size that wait for each other without an end, because
// each of them has a part of what the others need.
func TestGrowingMessagesDoNotBlockEachOther(t *testing.T) {
	budget := NewBudget(testLimits)
	const messages = 20
	ends := make(chan error, messages)
	for range messages {
		go func() {
			reservation, err := budget.ReserveUnknown(t.Context())
			if err == nil {
				err = reservation.Grow(t.Context(), 100)
				reservation.Release()
			}
			ends <- err
		}()
	}
	for range messages {
		select {
		case err := <-ends:
			assert.NilError(t, err)
		case <-time.After(5 * time.Second):
			t.Fatal("the messages wait for each other")
		}
	}
	assertFree(t, budget)
}
