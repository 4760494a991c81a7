package bulrushkey_test

import (
	"fmt"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushkey"
)

var tableSettings = bulrushkey.Settings{
	Lease: 3_000, ClockSkew: 250, Heartbeat: 1_000, ProposeStep: 2_000, Retention: 600_000, MaxKeys: 2, MaxBytes: 1_000,
}

// testNow is not a whole second, so that rounding errors are detected.
const testNow = bulrushchute.Millis(1_700_000_000_400)

var fullPermit = bulrushkey.Permit{At: testNow, IsHome: true, LeaseHeld: true, Since: testNow - 1_000, RetryAfter: 1_000}

// boundedPermit is the permit of a home that has handed its partition over.
var boundedPermit = bulrushkey.Permit{At: testNow, IsHome: true, LeaseHeld: true, Since: testNow - 1_000, Until: testNow, RetryAfter: 1_000}

// earlierPermit is a permit from before the node was suspended.
var earlierPermit = bulrushkey.Permit{At: testNow - 100, IsHome: true, LeaseHeld: true}

func numberedKey(mint bulrushchute.Millis, n int) bulrushkey.Key {
	return bulrushkey.NewKey(mint, [10]byte{4: byte(n >> 16), 5: byte(n >> 8), 6: byte(n)})
}

func requestOf(key bulrushkey.Key, attempt byte) bulrushkey.Request {
	return bulrushkey.Request{Key: key, Attempt: bulrushchute.AttemptID{attempt}, Fingerprint: 1}
}

func answerOf(body string) bulrushchute.Reply {
	return bulrushchute.Reply{Answer: &bulrushchute.Answer{Status: 200, Body: []byte(body)}}
}

// outcome returns a short text for a decision.
func outcome(decision bulrushkey.Decision) string {
	switch {
	case decision.Kind == bulrushkey.DecisionRun:
		return "run"
	case decision.Kind == bulrushkey.DecisionWait:
		return "wait"
	case decision.Reply.Answer != nil:
		return "answer " + string(decision.Reply.Answer.Body)
	case decision.Reply.Refusal != nil:
		return "not run " + string(decision.Reply.Refusal.Reason)
	default:
		return "unknown " + string(decision.Reply.Failure.Reason)
	}
}

// Guards against a wrong decision on a new key, which could run the key twice or
// report that it did not run although it did.
func TestTableNewKey(t *testing.T) {
	cases := map[string]struct {
		mint   bulrushchute.Millis
		permit bulrushkey.Permit
		want   string
	}{
		"new":                              {testNow, fullPermit, "run"},
		"minted at since":                  {testNow - 1_000, fullPermit, "run"},
		"minted before since":              {testNow - 1_001, fullPermit, "unknown key_too_old"},
		"minted before until":              {testNow - 1, boundedPermit, "run"},
		"minted at until":                  {testNow, boundedPermit, "not run key_home_unavailable"},
		"minted ClockSkew ahead":           {testNow + 250, fullPermit, "run"},
		"minted more than ClockSkew ahead": {testNow + 251, fullPermit, "not run key_from_future"},
		"permit given earlier":             {testNow + 200, earlierPermit, "not run key_from_future"},
		"past retention":                   {testNow - 600_000, bulrushkey.Permit{At: testNow, IsHome: true, LeaseHeld: true}, "unknown key_too_old"},
		"last moment of retention":         {testNow - 599_999, bulrushkey.Permit{At: testNow, IsHome: true, LeaseHeld: true}, "run"},
		"not the home":                     {testNow, bulrushkey.Permit{}, "not run key_home_unavailable"},
		"no lease":                         {testNow, bulrushkey.Permit{At: testNow, IsHome: true}, "not run key_home_unavailable"},
		"too old even without lease":       {testNow - 1_001, bulrushkey.Permit{IsHome: true, Since: testNow - 1_000}, "unknown key_too_old"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			table := bulrushkey.NewTable(tableSettings)
			decision := table.Begin(testNow, requestOf(numberedKey(tc.mint, 1), 1), tc.permit)
			assert.Equal(t, outcome(decision), tc.want)
		})
	}
}

// Guards against a repeat that runs again, does not get the recorded answer, or
// gets the answer to a different request.
func TestTableRepeat(t *testing.T) {
	key := numberedKey(testNow, 1)
	other := requestOf(key, 2)
	other.Fingerprint = 2
	cases := map[string]struct {
		// replies are passed to Complete before the repeat.
		replies []bulrushchute.Reply
		repeat  bulrushkey.Request
		permit  bulrushkey.Permit
		want    string
	}{
		"running":                    {nil, requestOf(key, 2), fullPermit, "wait"},
		"running, lease lost":        {nil, requestOf(key, 2), bulrushkey.Permit{IsHome: true}, "wait"},
		"answered":                   {[]bulrushchute.Reply{answerOf("a")}, requestOf(key, 2), fullPermit, "answer a"},
		"answered, no longer home":   {[]bulrushchute.Reply{answerOf("a")}, requestOf(key, 2), bulrushkey.Permit{}, "answer a"},
		"answered twice":             {[]bulrushchute.Reply{answerOf("a"), answerOf("b")}, requestOf(key, 2), fullPermit, "answer a"},
		"failed":                     {[]bulrushchute.Reply{{Failure: &bulrushchute.Failure{Reason: "deadline"}}}, requestOf(key, 2), fullPermit, "unknown deadline"},
		"not run":                    {[]bulrushchute.Reply{{Refusal: &bulrushchute.Refusal{Reason: "busy"}}}, requestOf(key, 2), fullPermit, "run"},
		"answer over the byte limit": {[]bulrushchute.Reply{answerOf(fmt.Sprintf("%1000d", 1))}, requestOf(key, 2), fullPermit, "unknown too_large"},
		"same key, other request":    {[]bulrushchute.Reply{answerOf("a")}, other, fullPermit, "not run malformed"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			table := bulrushkey.NewTable(tableSettings)
			assert.Equal(t, outcome(table.Begin(testNow, requestOf(key, 1), fullPermit)), "run")
			for _, reply := range tc.replies {
				table.Complete(testNow, key, reply)
			}
			assert.Equal(t, outcome(table.Begin(testNow, tc.repeat, tc.permit)), tc.want)
		})
	}
}

// Guards against waiting requests that are never answered, or that are answered
// after their callers have disconnected.
func TestTableReleasesWaiters(t *testing.T) {
	key := numberedKey(testNow, 1)
	table := bulrushkey.NewTable(tableSettings)
	for attempt := range byte(4) {
		table.Begin(testNow, requestOf(key, attempt), fullPermit)
	}
	table.CancelWait(key, bulrushchute.AttemptID{2})
	release := table.Complete(testNow, key, answerOf("a"))
	assert.DeepEqual(t, release.Attempts, []bulrushchute.AttemptID{{1}, {3}})

	expired := numberedKey(testNow, 2)
	table.Begin(testNow, requestOf(expired, 1), fullPermit)
	table.Begin(testNow, requestOf(expired, 2), fullPermit)
	releases := table.Tick(testNow + 601_000)
	assert.Equal(t, len(releases), 1)
	assert.Equal(t, releases[0].Reply.Failure.Reason, bulrushchute.ReasonKeyTooOld)
	assert.Equal(t, table.Len(), 0)
	assert.Equal(t, table.Bytes(), 0)
}

// Guards against a key that runs again because its record has expired and the
// node's clock was then set back.
func TestTableClockSetBack(t *testing.T) {
	key := numberedKey(testNow, 1)
	table := bulrushkey.NewTable(tableSettings)
	permit := bulrushkey.Permit{At: testNow, IsHome: true, LeaseHeld: true}
	assert.Equal(t, outcome(table.Begin(testNow, requestOf(key, 1), permit)), "run")
	table.Complete(testNow, key, answerOf("a"))
	table.Tick(testNow + 601_000)
	assert.Equal(t, table.Len(), 0)
	assert.Equal(t, outcome(table.Begin(testNow+599_900, requestOf(key, 2), permit)), "unknown key_too_old")
}

// Guards against a table that exceeds its limits, and against one that stays full
// after keys were removed.
func TestTableBounds(t *testing.T) {
	table := bulrushkey.NewTable(tableSettings)
	for n := range 3 {
		want := "run"
		if n == 2 {
			want = "not run key_record_full"
		}
		decision := table.Begin(testNow, requestOf(numberedKey(testNow, n), 1), fullPermit)
		assert.Equal(t, outcome(decision), want)
	}
	busy := 0
	for attempt := range byte(100) {
		if outcome(table.Begin(testNow, requestOf(numberedKey(testNow, 0), attempt), fullPermit)) == "not run busy" {
			busy++
		}
		assert.Assert(t, table.Bytes() <= tableSettings.MaxBytes)
	}
	assert.Assert(t, busy > 0, "waiting requests must be bounded")
	refused := bulrushchute.Reply{Refusal: &bulrushchute.Refusal{Reason: bulrushchute.ReasonBusy}}
	table.Complete(testNow, numberedKey(testNow, 0), refused)
	assert.Equal(t, table.Len(), 1)
	assert.Equal(t, outcome(table.Begin(testNow, requestOf(numberedKey(testNow, 2), 1), fullPermit)), "run")
}

// BenchmarkTable measures adding and answering one key in a table that holds the
// given number of keys, and reports the memory per key.
func BenchmarkTable(b *testing.B) {
	for _, size := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			settings := bulrushkey.DefaultSettings()
			settings.MaxKeys = size + 1
			// Mint times are 1 ms apart and retention is size ms, so each new key
			// makes an old one expire.
			settings.Retention = bulrushchute.Millis(size)
			table := bulrushkey.NewTable(settings)
			put := func(n int) {
				now := testNow + bulrushchute.Millis(n)
				permit := bulrushkey.Permit{At: now, IsHome: true, LeaseHeld: true}
				key := numberedKey(now, n)
				table.Tick(now)
				table.Begin(now, requestOf(key, 1), permit)
				table.Complete(now, key, answerOf(""))
			}
			before := heapBytes()
			for n := range size {
				put(n)
			}
			grown := heapBytes() - before
			accounted := table.Bytes()
			b.ResetTimer()
			for n := range b.N {
				put(size + n)
			}
			b.ReportMetric(float64(grown)/float64(size), "heap_B/key")
			b.ReportMetric(float64(accounted)/float64(size), "accounted_B/key")
		})
	}
}

func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
