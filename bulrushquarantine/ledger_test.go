package bulrushquarantine

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
)

const t0 = bulrushchute.Millis(1_000_000)

func content(number byte) Content { return Content{number} }

func crashOf(id CrashID, at bulrushchute.Millis, trial *Content, contents ...Content) Crash {
	return Crash{ID: id, At: at, StartedAt: bulrushchute.Millis(id), Contents: contents, Trial: trial}
}

func reportOf(crashes ...Crash) Report { return Report{Crashes: crashes} }

// Guards against a request that runs again too soon after it has crashed servers, or
// never again, and against one that is refused without a trial.
func TestVerdicts(t *testing.T) {
	bad := content(1)
	incidental := func(id CrashID, at bulrushchute.Millis) Crash { return crashOf(id, at, nil, bad, content(2)) }
	trial := func(id CrashID, at bulrushchute.Millis) Crash { return crashOf(id, at, &bad, bad, content(3)) }
	cases := map[string]struct {
		reports []Report
		after   bulrushchute.Millis
		want    Verdict
	}{
		"nothing known":                {nil, 0, Free},
		"ran at one crash":             {[]Report{reportOf(incidental(1, t0))}, 0, Suspect},
		"ran at four crashes":          {[]Report{reportOf(incidental(1, t0)), reportOf(incidental(2, t0)), reportOf(incidental(3, t0)), reportOf(incidental(4, t0))}, 0, Suspect},
		"long ago":                     {[]Report{reportOf(incidental(1, t0))}, suspectRetention, Free},
		"trial crashed":                {[]Report{reportOf(incidental(1, t0)), reportOf(trial(2, t0))}, 0, Suspect},
		"two trials crashed":           {[]Report{reportOf(incidental(1, t0)), reportOf(trial(2, t0)), reportOf(trial(3, t0))}, 0, Quarantined},
		"until the next trial":         {[]Report{reportOf(incidental(1, t0)), reportOf(trial(2, t0)), reportOf(trial(3, t0))}, retrialDelay - 1, Quarantined},
		"fourth server may be risked":  {[]Report{reportOf(incidental(1, t0)), reportOf(trial(2, t0)), reportOf(trial(3, t0))}, retrialDelay, Suspect},
		"an idle server ended as well": {[]Report{reportOf(incidental(1, t0)), reportOf(trial(2, t0)), reportOf(trial(3, t0)), {Ends: []bulrushchute.Millis{t0 - coincidenceWindow}}}, 0, Suspect},
		"it ended long before":         {[]Report{reportOf(incidental(1, t0)), reportOf(trial(2, t0)), reportOf(trial(3, t0)), {Ends: []bulrushchute.Millis{t0 - coincidenceWindow - 1}}}, 0, Quarantined},
		"it was of another service":    {[]Report{reportOf(incidental(1, t0)), reportOf(trial(2, t0)), reportOf(trial(3, t0)), {Service: "ledger", Ends: []bulrushchute.Millis{t0}}}, 0, Quarantined},
		"four crashes beside it":       {[]Report{reportOf(incidental(1, t0)), reportOf(trial(2, t0)), reportOf(trial(3, t0)), reportOf(trial(4, t0)), {Ends: []bulrushchute.Millis{t0}}}, 0, Quarantined},
		"six crashes":                  {[]Report{reportOf(trial(1, t0), trial(2, t0), trial(3, t0), trial(4, t0), trial(5, t0), trial(6, t0))}, 23 * bulrushchute.Hour, Quarantined},
		"a day later":                  {[]Report{reportOf(trial(1, t0), trial(2, t0), trial(3, t0), trial(4, t0), trial(5, t0), trial(6, t0))}, crashRetention, Free},
		"ran to its end":               {[]Report{reportOf(incidental(1, t0), trial(2, t0)), {Clearances: []Clearance{{Content: bad, Crashes: []CrashID{1, 2}}}}}, 0, Free},
		"ran to its end in between":    {[]Report{reportOf(incidental(1, t0), trial(2, t0), trial(3, t0)), {Clearances: []Clearance{{Content: bad, Crashes: []CrashID{1}}}}}, 0, Quarantined},
		"another one ran to its end":   {[]Report{reportOf(trial(1, t0), trial(2, t0)), {Clearances: []Clearance{{Content: content(2), Crashes: []CrashID{1, 2}}}}}, 0, Quarantined},
		"another one crashed a server": {[]Report{reportOf(crashOf(1, t0, nil, content(2)))}, 0, Free},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			l := NewLedger("n")
			for number, report := range tc.reports {
				l.Apply(bulrushchute.InstanceID(fmt.Sprint(number)), report)
			}
			assert.Equal(t, l.Assess(t0+tc.after, bad).Verdict, tc.want)
		})
	}
}

// Guards against a repaired version that is not tried until the quarantine ends, and
// against one that is tried although it crashed, or after too many crashes.
func TestNewVersionIsTried(t *testing.T) {
	bad := content(1)
	trial := func(id CrashID, version bulrushchute.Version) Crash {
		crash := crashOf(id, t0, &bad, bad)
		crash.Version = version
		return crash
	}
	cases := map[string]struct {
		crashes []Crash
		version bulrushchute.Version
		want    Verdict
	}{
		"version that crashed":        {[]Crash{trial(1, "v1"), trial(2, "v1")}, "v1", Quarantined},
		"new version":                 {[]Crash{trial(1, "v1"), trial(2, "v1")}, "v2", Suspect},
		"new version crashed as well": {[]Crash{trial(1, "v1"), trial(2, "v1"), trial(3, "v2")}, "v2", Quarantined},
		"too many crashes":            {[]Crash{trial(1, "v1"), trial(2, "v2"), trial(3, "v3"), trial(4, "v4"), trial(5, "v5"), trial(6, "v6")}, "v7", Quarantined},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			l := NewLedger("n")
			l.Apply("m", reportOf(tc.crashes...))
			assert.Equal(t, l.Assess(t0, bad).At(tc.version), tc.want)
		})
	}
}

// Guards against nodes that decide differently on a request because the reports
// reached them in another order, twice, or before an older one.
func TestVerdictsDoNotDependOnTheOrder(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 0))
		// Each node publishes three versions of its report.
		type version struct {
			node   bulrushchute.InstanceID
			number int
			report Report
		}
		var versions []version
		for node := range 4 {
			l := NewLedger(bulrushchute.InstanceID(fmt.Sprint(node)))
			for number := range 3 {
				suspect := content(byte(random.IntN(3)))
				l.RecordCrash(crashOf(CrashID(random.Uint64()), t0, &suspect, suspect, content(byte(random.IntN(3)))))
				if random.IntN(2) == 0 {
					l.RecordAnswer(t0, content(byte(random.IntN(3))))
				}
				versions = append(versions, version{node: l.own, number: number, report: l.Own()})
			}
		}
		replicas := []*Ledger{NewLedger("a"), NewLedger("b")}
		for _, replica := range replicas {
			newest := map[bulrushchute.InstanceID]int{}
			for range 2 {
				random.Shuffle(len(versions), func(i, j int) { versions[i], versions[j] = versions[j], versions[i] })
				for _, v := range versions {
					// A record is replaced by newer versions only.
					if known, exists := newest[v.node]; !exists || v.number > known {
						newest[v.node] = v.number
						replica.Apply(v.node, v.report)
					}
				}
			}
		}
		for number := range byte(3) {
			assert.DeepEqual(t, replicas[0].Assess(t0, content(number)), replicas[1].Assess(t0, content(number)))
		}
	}
}

// Guards against a ledger that grows with each crash, although its contents were
// cleared or are forgotten.
func TestLedgerIsEmptyAfterwards(t *testing.T) {
	cases := map[string]func(observer, other *Ledger) bulrushchute.Millis{
		"cleared by another node": func(observer, other *Ledger) bulrushchute.Millis {
			other.RecordAnswer(t0, content(1))
			other.RecordAnswer(t0, content(2))
			observer.Apply("other", other.Own())
			return t0
		},
		"forgotten": func(*Ledger, *Ledger) bulrushchute.Millis { return t0 + crashRetention },
	}
	for name, end := range cases {
		t.Run(name, func(t *testing.T) {
			observer, other := NewLedger("observer"), NewLedger("other")
			first := content(1)
			observer.RecordCrash(crashOf(1, t0, &first, first, content(2)))
			other.Apply("observer", observer.Own())
			now := end(observer, other)
			assert.Assert(t, observer.Compact(now))
			other.Apply("observer", observer.Own())
			other.Compact(now)
			observer.Apply("other", other.Own())
			assert.Assert(t, observer.Empty() && other.Empty())
			assert.Equal(t, len(observer.cleared)+len(other.cleared), 0)
		})
	}
}

// Guards against a report that a caller makes grow without limit, and against one
// that loses the newest crash then.
func TestReportIsBounded(t *testing.T) {
	l := NewLedger("n")
	contents := make([]Content, 10*maxContents)
	for i := range contents {
		contents[i] = Content{byte(i), byte(i >> 8), 1}
	}
	newest, oldest := content(1), content(2)
	l.RecordCrash(crashOf(1<<33, t0, &oldest, oldest))
	l.RecordCrash(crashOf(1<<33+1, t0, &oldest, oldest))
	for id := range CrashID(10 * maxCrashes) {
		l.RecordCrash(crashOf(id, t0, nil, append([]Content{{byte(id), byte(id >> 8), 2}}, contents...)...))
		l.RecordAnswer(t0, Content{byte(id), byte(id >> 8), 2})
	}
	l.RecordCrash(crashOf(1<<32, t0, &newest, newest))
	l.RecordCrash(crashOf(1<<32+1, t0, &newest, newest))
	data, err := l.Own().Encode()
	assert.NilError(t, err)
	parsed, err := ParseReport(data)
	assert.NilError(t, err)
	assert.Equal(t, parsed.contents(), maxContents)
	assert.Assert(t, len(data) < 64<<10, "%d bytes", len(data))
	assert.Equal(t, l.Assess(t0, newest).Verdict, Quarantined)
	assert.Equal(t, l.Assess(t0, oldest).Verdict, Quarantined, "dropped although its cause is known")
}

// Guards against bytes of a faulty node that end the process or fill its memory.
func FuzzParseReport(f *testing.F) {
	data, err := reportOf(crashOf(1, t0, nil, content(1))).Encode()
	assert.NilError(f, err)
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) {
		report, err := ParseReport(data)
		if err == nil {
			NewLedger("n").Apply("m", report)
		}
	})
}

// A request that ran when a server ended is tried at one other server, and at a third
// if that one ends too. If the third one ends as well, the request is quarantined; if
// the request runs to its end, it is free.
func ExampleLedger() {
	request := Content{1}
	l := NewLedger("node")
	l.RecordCrash(Crash{ID: 1, At: 1000, Contents: []Content{request}})
	fmt.Println(l.Assess(1000, request).Verdict)
	l.RecordCrash(Crash{ID: 2, At: 1200, Contents: []Content{request}, Trial: &request})
	fmt.Println(l.Assess(1200, request).Verdict)
	l.RecordCrash(Crash{ID: 3, At: 1400, Contents: []Content{request}, Trial: &request})
	fmt.Println(l.Assess(1400, request).Verdict)
	l.RecordAnswer(40_000, request)
	fmt.Println(l.Assess(40_000, request).Verdict)
	// Output:
	// suspect
	// suspect
	// quarantined
	// free
}

// Guards against reports of all nodes that exceed the memory of a node at the target
// size, when callers crash each server as often as a report can hold.
func TestFullReportsOfAllNodesFitIntoMemory(t *testing.T) {
	const (
		targetNodes = 23_000
		memoryBytes = 256 << 20
	)
	l := NewLedger("10.2.0.15:7220/4c44c96d4118")
	for id := range CrashID(maxCrashes) {
		contents := make([]Content, maxContents)
		for i := range contents {
			contents[i] = Content{byte(id), byte(i), 1}
		}
		l.RecordCrash(crashOf(id, t0, nil, contents...))
	}
	data, err := l.Own().Encode()
	assert.NilError(t, err)
	assert.Assert(t, targetNodes*len(data) < memoryBytes, "%d MB", targetNodes*len(data)>>20)
}

// Guards against a server that ended by chance, of which the only request ran to its
// end elsewhere later, and that does not count as a sign of further such ends.
func TestClearedCrashIsAnEndForAnotherReason(t *testing.T) {
	observer, other := NewLedger("observer"), NewLedger("other")
	observer.SetService("board")
	observer.RecordCrash(crashOf(1, t0, nil, content(1)))
	other.Apply("observer", observer.Own())
	assert.Assert(t, other.RecordAnswer(t0, content(1)))
	observer.Apply("other", other.Own())
	assert.Assert(t, observer.Compact(t0+bulrushchute.Second))
	assert.DeepEqual(t, observer.Own(), Report{Service: "board", Ends: []bulrushchute.Millis{t0}})
	assert.Assert(t, observer.Compact(t0+suspectRetention))
	assert.Assert(t, observer.Own().empty())
}

// Guards against a node that runs out of memory, or no longer knows what crashes the
// servers of its own service, because the nodes of other services report crashes.
func TestLedgerIsBoundedOverAllNodes(t *testing.T) {
	const (
		targetNodes = 23_000
		ownNodes    = 100
		// memoryBytes is what a node may need for control in all.
		memoryBytes = 256 << 20
	)
	full := func(node int, service bulrushchute.Service) Report {
		l := NewLedger("n")
		l.SetService(service)
		number := byte(0)
		next := func() Content {
			number++
			return Content{byte(node), byte(node >> 8), number}
		}
		for id := range CrashID(maxCrashes) {
			contents := make([]Content, maxContents/maxCrashes)
			for i := range contents {
				contents[i] = next()
			}
			l.RecordCrash(Crash{ID: ^id, At: t0, StartedAt: t0, Version: "v1", Contents: contents, Trial: &contents[0]})
		}
		for range maxEnds {
			l.RecordEnd(t0)
		}
		report := l.Own()
		for range maxClearances {
			report = report.withClearance(Clearance{Content: next(), Crashes: []CrashID{^CrashID(0), ^CrashID(1)}})
		}
		return report
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	l := NewLedger("n")
	l.SetService("board")
	var records [][]byte
	leftOut := 0
	for node := range targetNodes {
		report := full(node, "other")
		if node >= targetNodes-ownNodes {
			report = full(node, "board")
		}
		data, err := report.Encode()
		assert.NilError(t, err)
		parsed, err := ParseReport(data)
		assert.NilError(t, err)
		records = append(records, slices.Clone(data))
		if !l.Apply(bulrushchute.InstanceID(fmt.Sprint(node)), parsed) {
			leftOut++
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	t.Logf("%d MB with %d B of each record", (after.HeapAlloc-before.HeapAlloc)>>20, len(records[0]))
	assert.Assert(t, after.HeapAlloc-before.HeapAlloc < memoryBytes/2)
	for node := targetNodes - ownNodes; node < targetNodes; node++ {
		assert.Equal(t, l.Assess(t0, Content{byte(node), byte(node >> 8), 1}).Verdict, Suspect)
	}
	assert.Assert(t, leftOut > 0 && leftOut < targetNodes-ownNodes)
	for node := range targetNodes {
		l.Apply(bulrushchute.InstanceID(fmt.Sprint(node)), Report{})
	}
	assert.Assert(t, l.Empty() && l.otherEntries == 0)
}
