package bulrushusage

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bulrushchute.example/bulrushchute"
)

// An encoding that loses or moves a count bills the wrong tenant, and bytes of a
// faulty node must not end the process.
func TestPropertyEncoding(t *testing.T) {
	names := []bulrushchute.Tenant{"a", "b", "c", "d", "e", "f", "g", "h"}
	rapid.Check(t, func(r *rapid.T) {
		counts := Counts(rapid.MapOf(rapid.SampledFrom(names), rapid.Uint64Range(1, maxCount)).Draw(r, "counts"))
		from := rapid.IntRange(0, len(names)).Draw(r, "from")
		encoded := encode(newTenantList(names[from:]), counts)
		assert.Assert(r, encoded.valid())
		assert.DeepEqual(r, encoded.withNames().named, counts)

		foreign := content{list: newTenantList(names), indexed: rapid.SliceOf(rapid.Byte()).Draw(r, "bytes")}
		if foreign.valid() {
			foreign.withNames()
		}
	})
}

// A counter that keeps all windows grows without limit, and one that withdraws
// twice reports too little.
func TestCounterKeepsLastWindows(t *testing.T) {
	counter := NewCounter(testSettings)
	for i := range bulrushchute.Millis(2 * WindowsKept) {
		counter.Began(testStart+i*testSettings.WindowMs, "a")
	}
	last := testWindow + 2*WindowsKept - 1
	assert.Equal(t, len(counter.windows), WindowsKept)
	assert.DeepEqual(t, counter.Counts(last-WindowsKept), Counts{})
	assert.DeepEqual(t, counter.Counts(last), Counts{"a": 1})
	counter.Withdraw(last, "a")
	counter.Withdraw(last, "a")
	assert.DeepEqual(t, counter.Counts(last), Counts{})
	counter.Forget(last - 1)
	assert.DeepEqual(t, counter.Counts(last-1), Counts{})
}

// Settings that leave no time for calls must be refused at the start.
func TestSettingsAreValidated(t *testing.T) {
	cases := map[string]struct {
		settings Settings
		field    string
	}{
		"valid":        {testSettings, ""},
		"short window": {Settings{WindowMs: 999, LateMs: 10000, LeaseMs: 3000}, "reportWindowS"},
		"short late":   {Settings{WindowMs: 5000, LateMs: 4000, LeaseMs: 3000}, "usageLateS"},
		"short lease":  {Settings{WindowMs: 5000, LateMs: 10000, LeaseMs: 1000}, "leaseS"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			err := test.settings.Validate()
			var invalid *bulrushchute.FieldError
			assert.Equal(t, errors.As(err, &invalid), test.field != "")
			if invalid != nil {
				assert.Equal(t, invalid.Field, test.field)
			}
		})
	}
}
