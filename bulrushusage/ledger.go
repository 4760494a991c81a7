package bulrushusage

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"sort"

	"github.com/pkg/errors"

	"bulrushchute.example/bulrushchute"
)

const (
	// LedgerName is the name of the ledger, which has the kind usage.
	LedgerName = "ledger"
	// ledgerWindows is the number of windows that the ledger keeps.
	ledgerWindows = 24
)

// Ledger is the durable state of usage reports. A window is written to it before it
// is sent, and its counts never change from then on.
type Ledger struct {
	// Token is the fencing token of the last writer.
	Token uint64
	// Next is the first window that has not been settled. Earlier windows that are not
	// in Windows are never sent.
	Next Window
	// Windows are the settled windows that are kept, in ascending order.
	Windows []LedgerWindow
}

// LedgerWindow is a settled window.
type LedgerWindow struct {
	Window Window
	// Counts has no tenants with a count of 0.
	Counts Counts
	// Acknowledged is set once the platform has accepted the counts.
	Acknowledged bool
}

// LedgerSizeError reports a ledger that does not fit into an object of the store.
type LedgerSizeError struct {
	Bytes int
}

// Error implements error.
func (e *LedgerSizeError) Error() string {
	return fmt.Sprintf("usage ledger has %d bytes, more than the %d that the store accepts", e.Bytes, bulrushchute.MaxObjectBytes)
}

// wireLedger is the JSON form of a Ledger. Names of tenants appear once, because 24
// windows of 5,000 tenants would take 1.7 MB with names in each window.
type wireLedger struct {
	// Token is a string, because JSON numbers above 2^53 are not exact everywhere.
	Token   uint64                `json:"token,string"`
	Next    Window                `json:"next"`
	Tenants []bulrushchute.Tenant `json:"tenants"`
	Windows []wireLedgerWindow    `json:"windows"`
}

type wireLedgerWindow struct {
	Window       Window `json:"window"`
	Acknowledged bool   `json:"acknowledged"`
	// Counts has one count for each tenant of the ledger, in the same order.
	Counts []uint64 `json:"counts"`
}

// Encode returns the JSON form. It is the same for equal ledgers. Errors are matched
// with errors.As: *LedgerSizeError, *bulrushchute.FieldError.
func (l Ledger) Encode() ([]byte, error) {
	wire := wireLedger{Token: l.Token, Next: l.Next, Tenants: l.tenants(), Windows: []wireLedgerWindow{}}
	for _, entry := range l.Windows {
		counts := make([]uint64, len(wire.Tenants))
		for i, tenant := range wire.Tenants {
			counts[i] = entry.Counts[tenant]
		}
		wire.Windows = append(wire.Windows, wireLedgerWindow{Window: entry.Window, Acknowledged: entry.Acknowledged, Counts: counts})
	}
	if err := wire.validate(); err != nil {
		return nil, err
	}
	value, err := json.Marshal(wire)
	if err != nil {
		return nil, errors.Wrap(err, "encode usage ledger")
	}
	if len(value) > bulrushchute.MaxObjectBytes {
		return nil, &LedgerSizeError{Bytes: len(value)}
	}
	return value, nil
}

// tenants returns the tenants of all windows, sorted.
func (l Ledger) tenants() []bulrushchute.Tenant {
	names := make(map[bulrushchute.Tenant]bool)
	for _, entry := range l.Windows {
		for tenant, count := range entry.Counts {
			if count > 0 {
				names[tenant] = true
			}
		}
	}
	return append([]bulrushchute.Tenant{}, slices.Sorted(maps.Keys(names))...)
}

// ParseLedger is the inverse of Encode. Errors are matched with errors.As:
// *LedgerSizeError, *bulrushchute.FieldError, and those of encoding/json.
func ParseLedger(value []byte) (Ledger, error) {
	if len(value) > bulrushchute.MaxObjectBytes {
		return Ledger{}, &LedgerSizeError{Bytes: len(value)}
	}
	decoder := json.NewDecoder(bytes.NewReader(value))
	decoder.DisallowUnknownFields()
	var wire wireLedger
	if err := decoder.Decode(&wire); err != nil {
		return Ledger{}, errors.Wrap(err, "decode usage ledger")
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return Ledger{}, &bulrushchute.FieldError{Field: "ledger", Value: "data after the document", Allowed: "one JSON object"}
	}
	if err := wire.validate(); err != nil {
		return Ledger{}, err
	}
	return wire.ledger(), nil
}

func (w wireLedger) ledger() Ledger {
	l := Ledger{Token: w.Token, Next: w.Next}
	for _, entry := range w.Windows {
		counts := make(Counts)
		for i, count := range entry.Counts {
			if count > 0 {
				counts[w.Tenants[i]] = count
			}
		}
		l.Windows = append(l.Windows, LedgerWindow{Window: entry.Window, Counts: counts, Acknowledged: entry.Acknowledged})
	}
	return l
}

func (w wireLedger) validate() error {
	if w.Token == 0 {
		return ledgerFieldError("token", w.Token, "a positive fencing token")
	}
	if len(w.Windows) > ledgerWindows {
		return ledgerFieldError("windows", len(w.Windows), fmt.Sprintf("at most %d windows", ledgerWindows))
	}
	for i, tenant := range w.Tenants {
		if tenant == "" || i > 0 && tenant <= w.Tenants[i-1] {
			return ledgerFieldError(fmt.Sprintf("tenants[%d]", i), tenant, "distinct sorted names")
		}
	}
	for i, entry := range w.Windows {
		if entry.Window >= w.Next || i > 0 && entry.Window <= w.Windows[i-1].Window {
			return ledgerFieldError(fmt.Sprintf("windows[%d].window", i), entry.Window, "windows before next in ascending order")
		}
		if len(entry.Counts) != len(w.Tenants) {
			return ledgerFieldError(fmt.Sprintf("windows[%d].counts", i), len(entry.Counts), "one count for each tenant")
		}
	}
	return nil
}

func ledgerFieldError(field string, value any, allowed string) error {
	return &bulrushchute.FieldError{Field: field, Value: fmt.Sprint(value), Allowed: allowed}
}

// find returns the entry of a window.
func (l Ledger) find(window Window) (LedgerWindow, bool) {
	i := sort.Search(len(l.Windows), func(i int) bool { return l.Windows[i].Window >= window })
	if i == len(l.Windows) || l.Windows[i].Window != window {
		return LedgerWindow{}, false
	}
	return l.Windows[i], true
}

// extends reports whether the ledger settles more than an earlier one, or has a window
// with other counts.
func (l Ledger) extends(earlier Ledger) bool {
	return l.Next > earlier.Next || slices.ContainsFunc(l.Windows, func(entry LedgerWindow) bool {
		known, found := earlier.find(entry.Window)
		return !found || !maps.Equal(known.Counts, entry.Counts)
	})
}

// withWindow returns a copy in which an entry is added or replaced.
func (l Ledger) withWindow(entry LedgerWindow) Ledger {
	windows := slices.Clone(l.Windows)
	i := sort.Search(len(windows), func(i int) bool { return windows[i].Window >= entry.Window })
	if i < len(windows) && windows[i].Window == entry.Window {
		windows[i] = entry
	} else {
		windows = slices.Insert(windows, i, entry)
	}
	l.Windows = windows
	l.Next = max(l.Next, entry.Window+1)
	return l
}

// withRetention returns a copy without windows before the given one and with at most
// ledgerWindows of them.
func (l Ledger) withRetention(oldest Window) Ledger {
	i := sort.Search(len(l.Windows), func(i int) bool { return l.Windows[i].Window >= oldest })
	l.Windows = l.Windows[max(i, len(l.Windows)-ledgerWindows):]
	return l
}

// withoutOne returns a copy without the oldest acknowledged window, or without the
// oldest one if none is acknowledged.
func (l Ledger) withoutOne() Ledger {
	i := max(0, slices.IndexFunc(l.Windows, func(entry LedgerWindow) bool { return entry.Acknowledged }))
	l.Windows = slices.Delete(slices.Clone(l.Windows), i, i+1)
	return l
}

// encodeFitting encodes the ledger and removes windows until it fits into an object
// of the store. The windows that it removes are given up.
func (l Ledger) encodeFitting() (Ledger, []byte, error) {
	for {
		value, err := l.Encode()
		var tooLarge *LedgerSizeError
		if !errors.As(err, &tooLarge) || len(l.Windows) == 0 {
			return l, value, err
		}
		l = l.withoutOne()
	}
}
