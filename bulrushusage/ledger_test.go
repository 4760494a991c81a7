package bulrushusage

import (
	"fmt"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
)

func largeLedger(windows, tenants int, count uint64) Ledger {
	l := Ledger{Token: 1<<40 | 1, Next: Window(windows + 1)}
	for window := range windows {
		counts := make(Counts)
		for i := range tenants {
			counts[bulrushchute.Tenant(fmt.Sprintf("organisation-%05d", i))] = count + uint64(i%7)
		}
		l.Windows = append(l.Windows, LedgerWindow{Window: Window(window + 1), Counts: counts})
	}
	return l
}

// Guards against a ledger that changes on its way through the store, and against an
// encoding that is not canonical.
func TestLedgerRoundTrip(t *testing.T) {
	l := Ledger{Token: 65_535<<40 | 7, Next: 12, Windows: []LedgerWindow{
		{Window: 9, Counts: Counts{"b": 1, "a": 2}, Acknowledged: true}, {Window: 11, Counts: Counts{"c<": 1 << 60}},
	}}
	value, err := l.Encode()
	assert.NilError(t, err)
	assert.Equal(t, string(value), `{"token":"72056494526300167","next":12,"tenants":["a","b","c\u003c"],"windows":[`+
		`{"window":9,"acknowledged":true,"counts":[2,1,0]},{"window":11,"acknowledged":false,"counts":[0,0,1152921504606846976]}]}`)
	parsed, err := ParseLedger(value)
	assert.NilError(t, err)
	assert.DeepEqual(t, parsed, l)
}

// Guards against a damaged ledger that is taken for a valid one.
func TestParseLedgerRejectsMalformedOnes(t *testing.T) {
	cases := map[string]string{
		"empty":             ``,
		"list":              `[]`,
		"no token":          `{"next":1,"tenants":[],"windows":[]}`,
		"token is a number": `{"token":1,"next":1,"tenants":[],"windows":[]}`,
		"negative token":    `{"token":"-1","next":1,"tenants":[],"windows":[]}`,
		"unknown field":     `{"token":"1","next":1,"tenants":[],"windows":[],"more":1}`,
		"unsorted tenants":  `{"token":"1","next":1,"tenants":["b","a"],"windows":[]}`,
		"repeated tenant":   `{"token":"1","next":1,"tenants":["a","a"],"windows":[]}`,
		"nameless tenant":   `{"token":"1","next":1,"tenants":[""],"windows":[]}`,
		"window not before": `{"token":"1","next":1,"tenants":[],"windows":[{"window":1,"counts":[]}]}`,
		"repeated window":   `{"token":"1","next":3,"tenants":[],"windows":[{"window":1,"counts":[]},{"window":1,"counts":[]}]}`,
		"missing count":     `{"token":"1","next":3,"tenants":["a"],"windows":[{"window":1,"counts":[]}]}`,
		"negative count":    `{"token":"1","next":3,"tenants":["a"],"windows":[{"window":1,"counts":[-1]}]}`,
		"data after it":     `{"token":"1","next":1,"tenants":[],"windows":[]}{}`,
		"too many windows":  `{"token":"1","next":99,"tenants":[],"windows":[` + manyWindows(ledgerWindows+1) + `]}`,
		"too large":         strings.Repeat(" ", bulrushchute.MaxObjectBytes+1),
	}
	for name, value := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := ParseLedger([]byte(value))
			assert.Assert(t, err != nil)
		})
	}
}

func manyWindows(count int) string {
	var list []string
	for i := range count {
		list = append(list, fmt.Sprintf(`{"window":%d,"counts":[]}`, i))
	}
	return strings.Join(list, ",")
}

// Guards against a write of the ledger that fails for its size, which would end all
// reports.
func TestLedgerFitsIntoTheStore(t *testing.T) {
	cases := map[string]struct {
		ledger Ledger
		kept   int
	}{
		"24 windows of 5,000 tenants": {largeLedger(ledgerWindows, 5000, 9000), ledgerWindows},
		"counts of 10 digits":         {largeLedger(ledgerWindows, 5000, 1e9), 17},
		"one window too large":        {largeLedger(1, 50_000, 1), 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			fitting, value, err := tc.ledger.encodeFitting()
			assert.NilError(t, err)
			t.Logf("%d bytes", len(value))
			assert.Equal(t, len(fitting.Windows), tc.kept)
			assert.Equal(t, fitting.Next, tc.ledger.Next)
		})
	}
	acknowledged := largeLedger(ledgerWindows, 5000, 1e9)
	acknowledged.Windows[20].Acknowledged = true
	_, err := acknowledged.Encode()
	var tooLarge *LedgerSizeError
	assert.Assert(t, errors.As(err, &tooLarge))
	fitting, _, err := acknowledged.encodeFitting()
	assert.NilError(t, err)
	_, kept := fitting.find(21)
	assert.Assert(t, !kept, "an acknowledged window must go first")
}

// Guards against a holder that overwrites a ledger that it cannot read.
func TestReporterLeavesAMalformedLedger(t *testing.T) {
	store, sink := &ledgerStore{revision: 1, value: []byte(`{"token":"1","format":2}`)}, &reportSink{}
	a := newHolder(usageOf(200, 200, 1))
	a.reporter.Begin(firstEnd, 2)
	read := a.next(firstEnd)[0]
	assert.Assert(t, a.reporter.Done(firstEnd, read, store.call(read)) != nil)
	a.runUntil(firstEnd, firstEnd+20_000, store, sink)
	assert.Equal(t, store.writes+len(sink.calls), 0)
}
