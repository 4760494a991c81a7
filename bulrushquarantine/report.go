package bulrushquarantine

import (
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"bulrushchute.example/bulrushchute"
)

// Limits of a report. They bound what the callers of one server can make all nodes
// keep: 3 KB encoded.
const (
	maxCrashes = 12
	// maxContents is the number of contents of all crashes together.
	maxContents   = 64
	maxClearances = 32
	// maxCleared is the number of crashes of all clearances together.
	maxCleared = 64
	maxEnds    = 8
)

// CrashID identifies a crash. The node that observes the crash chooses it at random.
type CrashID uint64

// Crash is the end of a backend server, as the node beside it observed it.
type Crash struct {
	ID CrashID `cbor:"1,keyasint" json:"id,string"`
	// At is the time of the crash on the observer's clock.
	At bulrushchute.Millis `cbor:"2,keyasint" json:"at_ms"`
	// StartedAt is the start time that the server process had announced.
	StartedAt bulrushchute.Millis `cbor:"3,keyasint" json:"started_at_ms"`
	// Version is that of the server.
	Version bulrushchute.Version `cbor:"6,keyasint,omitempty" json:"version,omitempty"`
	// Contents are those of the requests that ran and that have not run to their
	// end anywhere since.
	Contents []Content `cbor:"4,keyasint,omitempty" json:"contents,omitempty"`
	// Trial is the one of the contents that ran as a trial, nil if there was none.
	Trial *Content `cbor:"5,keyasint,omitempty" json:"trial,omitempty"`
}

// Clearance states that a request has run to its end, so that it was not the cause
// of some crashes.
type Clearance struct {
	Content Content   `cbor:"1,keyasint" json:"content"`
	Crashes []CrashID `cbor:"2,keyasint" json:"crashes"`
}

// Report is what one node has observed. It replaces the earlier reports of the node.
type Report struct {
	Crashes    []Crash     `cbor:"1,keyasint,omitempty" json:"crashes,omitempty"`
	Clearances []Clearance `cbor:"2,keyasint,omitempty" json:"clearances,omitempty"`
	// Ends are the times, on the observer's clock, at which the backend server ended
	// for another reason: it ran no request, or only ones that ran to their end
	// elsewhere since.
	Ends []bulrushchute.Millis `cbor:"3,keyasint,omitempty" json:"ends_ms,omitempty"`
	// Service is that of the backend server.
	Service bulrushchute.Service `cbor:"4,keyasint,omitempty" json:"service,omitempty"`
}

// empty reports whether the report states nothing.
func (r Report) empty() bool {
	return len(r.Crashes) == 0 && len(r.Clearances) == 0 && len(r.Ends) == 0
}

// Equal reports whether two reports state the same crashes with the same contents.
func (r Report) Equal(other Report) bool {
	return slices.EqualFunc(r.Crashes, other.Crashes, func(a, b Crash) bool {
		return a.ID == b.ID && slices.Equal(a.Contents, b.Contents)
	})
}

// Names reports whether a content ran at one of the crashes.
func (r Report) Names(content Content) bool {
	return slices.ContainsFunc(r.Crashes, func(crash Crash) bool { return slices.Contains(crash.Contents, content) })
}

// LastCrashAt returns the time of the latest crash, 0 if there is none.
func (r Report) LastCrashAt() bulrushchute.Millis {
	latest := bulrushchute.Millis(0)
	for _, crash := range r.Crashes {
		latest = max(latest, crash.At)
	}
	return latest
}

// LimitError reports a Report that exceeds a limit.
type LimitError struct {
	What  string
	Count int
	Limit int
}

// Error implements error.
func (e *LimitError) Error() string {
	return "report of crashes has too many " + e.What
}

// Encode returns the report as CBOR.
func (r Report) Encode() ([]byte, error) {
	data, err := cbor.Marshal(r)
	return data, errors.Wrap(err, "encode report of crashes")
}

// ParseReport is the inverse of Report.Encode. Errors are matched with errors.As:
// *LimitError.
func ParseReport(data []byte) (Report, error) {
	var report Report
	if err := cbor.Unmarshal(data, &report); err != nil {
		return Report{}, errors.Wrap(err, "parse report of crashes")
	}
	return report, report.Check()
}

// Check returns a *LimitError if the report exceeds a limit.
func (r Report) Check() error {
	counts := map[string]struct{ count, limit int }{
		"crashes":         {len(r.Crashes), maxCrashes},
		"contents":        {r.contents(), maxContents},
		"clearances":      {len(r.Clearances), maxClearances},
		"cleared crashes": {r.cleared(), maxCleared},
		"ends":            {len(r.Ends), maxEnds},
	}
	for what, c := range counts {
		if c.count > c.limit {
			return &LimitError{What: what, Count: c.count, Limit: c.limit}
		}
	}
	return nil
}

// contents returns the number of contents of all crashes.
func (r Report) contents() int {
	count := 0
	for _, crash := range r.Crashes {
		count += len(crash.Contents)
	}
	return count
}

// cleared returns the number of crashes of all clearances.
func (r Report) cleared() int {
	count := 0
	for _, clearance := range r.Clearances {
		count += len(clearance.Crashes)
	}
	return count
}

// size returns the number of entries that the report adds to the index of a Ledger.
func (r Report) size() int {
	return r.contents() + r.cleared() + len(r.Ends)
}

// withCrash returns the report with a further crash. In excess of the limits it drops
// the oldest crash that ended no trial, or else the oldest one, and then the contents
// of the oldest crashes that were not on trial.
func (r Report) withCrash(crash Crash) Report {
	crashes := append(slices.Clone(r.Crashes), crash)
	if len(crashes) > maxCrashes {
		dropped := max(0, slices.IndexFunc(crashes, func(c Crash) bool { return c.Trial == nil }))
		crashes = slices.Delete(crashes, dropped, dropped+1)
	}
	r.Crashes = crashes
	excess := r.contents() - maxContents
	for i := range crashes {
		contents := crashes[i].withoutExcess(excess)
		excess -= len(crashes[i].Contents) - len(contents)
		crashes[i].Contents = contents
	}
	r.Crashes = slices.DeleteFunc(crashes, func(c Crash) bool { return len(c.Contents) == 0 })
	return r
}

// withoutExcess returns the contents without the last ones that were not on trial.
func (c Crash) withoutExcess(excess int) []Content {
	contents := slices.Clone(c.Contents)
	for i := len(contents) - 1; i >= 0 && excess > 0; i-- {
		if c.Trial == nil || contents[i] != *c.Trial {
			contents = slices.Delete(contents, i, i+1)
			excess--
		}
	}
	return contents
}

// withClearance returns the report with a further clearance. It drops the oldest
// ones in excess of the limits.
func (r Report) withClearance(clearance Clearance) Report {
	clearance.Crashes = clearance.Crashes[:min(len(clearance.Crashes), maxCleared)]
	r.Clearances = append(slices.Clone(r.Clearances), clearance)
	for len(r.Clearances) > maxClearances || r.cleared() > maxCleared {
		r.Clearances = r.Clearances[1:]
	}
	return r
}

// withEnd returns the report with a further end of the backend server that no request
// caused. It drops the oldest ones in excess of the limit.
func (r Report) withEnd(at bulrushchute.Millis) Report {
	ends := append(slices.Clone(r.Ends), at)
	r.Ends = ends[max(0, len(ends)-maxEnds):]
	return r
}
