package bulrushchute_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
)

func ExampleManualClock() {
	clock := bulrushchute.NewManualClock(1000)
	clock.Advance(2 * bulrushchute.Second)
	fmt.Println(clock.Now())
	// Output: 3000
}

// Guards against an order in which a record of an older epoch replaces one of a
// newer epoch.
func TestRecordVersionOrder(t *testing.T) {
	cases := map[string]struct {
		left, right bulrushchute.RecordVersion
		want        bool
	}{
		"higher counter":         {bulrushchute.RecordVersion{Epoch: 1, Counter: 1}, bulrushchute.RecordVersion{Epoch: 1, Counter: 2}, true},
		"equal":                  {bulrushchute.RecordVersion{Epoch: 1, Counter: 1}, bulrushchute.RecordVersion{Epoch: 1, Counter: 1}, false},
		"epoch precedes counter": {bulrushchute.RecordVersion{Epoch: 1, Counter: 9}, bulrushchute.RecordVersion{Epoch: 2, Counter: 0}, true},
		"older epoch":            {bulrushchute.RecordVersion{Epoch: 2, Counter: 0}, bulrushchute.RecordVersion{Epoch: 1, Counter: 9}, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, tc.left.Less(tc.right), tc.want)
		})
	}
}

// Guards against a wrong sign or unit in conversions to and from time.Duration,
// and against rounding up.
func TestMillisConversion(t *testing.T) {
	assert.Equal(t, (1500 * bulrushchute.Millisecond).Duration(), 1500*time.Millisecond)
	assert.Equal(t, bulrushchute.MillisOf(1999*time.Microsecond), bulrushchute.Millis(1))
}

// Guards against a clock that does not advance or starts at another time.
func TestBootClock(t *testing.T) {
	clock := bulrushchute.NewBootClock()
	before := bulrushchute.WallClock{}.Now()
	first := clock.Now()
	assert.Assert(t, first >= before-1 && first <= bulrushchute.WallClock{}.Now()+1)
	time.Sleep(5 * time.Millisecond)
	assert.Assert(t, clock.Now() >= first+4)
}
