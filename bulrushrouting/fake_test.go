package bulrushrouting

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"bulrushchute.example/bulrushchute"
)

// The fake has a few servers with slots and a queue, and entry nodes with a
// picker each. Servers change speed every few tens of milliseconds.
const (
	fakeServers   = 6
	fakeEntries   = 4
	fakeSlots     = 10
	fakeQueue     = 20
	fakeServiceMs = 5.0
	fakeNetworkMs = 0.25
	fakeUse       = 0.5
	fakeSpanMs    = 4000.0
	// Every shift of a server's speed draws a factor, mostly near 1.
	fakeShiftMs = 40.0
	// One server is slow by this factor in the second half.
	fakeSlowFactor = 10.0
)

type fakeServer struct {
	busy  int
	queue []func()
	// factor stretches service times; lie divides the load that is reported.
	factor    float64
	slow      bool
	lies      bool
	serviceMs float64
}

type fakeEvent struct {
	at  float64
	seq int
	run func()
}

type fakeEvents []fakeEvent

func (fe fakeEvents) Len() int { return len(fe) }
func (fe fakeEvents) Less(i, j int) bool {
	return fe[i].at < fe[j].at || fe[i].at == fe[j].at && fe[i].seq < fe[j].seq
}
func (fe fakeEvents) Swap(i, j int) { fe[i], fe[j] = fe[j], fe[i] }
func (fe *fakeEvents) Push(e any)   { *fe = append(*fe, e.(fakeEvent)) }
func (fe *fakeEvents) Pop() any {
	last := (*fe)[len(*fe)-1]
	*fe = (*fe)[:len(*fe)-1]
	return last
}

type fake struct {
	random  *rand.Rand
	events  fakeEvents
	seq     int
	now     float64
	servers []*fakeServer
	pickers []Candidates
	times   []float64
	failed  int
}

func newFake(seed uint64, make func(entry int, random *rand.Rand) Candidates) *fake {
	f := &fake{random: rand.New(rand.NewPCG(seed, 1))}
	var members []bulrushchute.Instance
	for i := range fakeServers {
		f.servers = append(f.servers, &fakeServer{factor: 1, lies: i == 1, serviceMs: fakeServiceMs})
		members = append(members, bulrushchute.Instance{ID: fakeID(i), DataCentre: "dc", Slots: fakeSlots, State: bulrushchute.StateReady})
		f.after(f.random.Float64()*fakeShiftMs, func() { f.shift(i) })
	}
	for e := range fakeEntries {
		picker := make(e, rand.New(rand.NewPCG(seed, uint64(e)+2)))
		picker.Update(0, members, nil)
		f.pickers = append(f.pickers, picker)
	}
	f.after(fakeSpanMs/2, func() { f.servers[0].slow = true })
	f.after(0, f.arrive)
	return f
}

func fakeID(server int) bulrushchute.InstanceID {
	return bulrushchute.InstanceID(fmt.Sprint("server-", server))
}

func (f *fake) after(ms float64, run func()) {
	f.seq++
	heap.Push(&f.events, fakeEvent{at: f.now + ms, seq: f.seq, run: run})
}

func (f *fake) run() {
	for len(f.events) > 0 {
		event := heap.Pop(&f.events).(fakeEvent)
		f.now = event.at
		event.run()
	}
	slices.Sort(f.times)
}

func (f *fake) millis() bulrushchute.Millis { return bulrushchute.Millis(f.now) }

// shift draws a server's next speed: normal, twice or five times slower.
func (f *fake) shift(server int) {
	f.servers[server].factor = []float64{1, 1, 1, 1, 2, 5}[f.random.IntN(6)]
	if f.now < fakeSpanMs {
		f.after(f.random.ExpFloat64()*fakeShiftMs, func() { f.shift(server) })
	}
}

func (f *fake) arrive() {
	perMs := fakeUse * fakeServers * fakeSlots / (fakeServiceMs * 11 / 6)
	if f.now < fakeSpanMs {
		f.after(f.random.ExpFloat64()/perMs, f.arrive)
	}
	f.try(f.random.IntN(fakeEntries), f.now, nil)
}

// try sends an attempt; refusals are tried elsewhere, three attempts in all.
func (f *fake) try(entry int, arrived float64, tried []bulrushchute.InstanceID) {
	picker := f.pickers[entry]
	picked, ok := picker.Pick(f.millis(), bulrushchute.PickQuery{Exclude: tried})
	if !ok || len(tried) == 3 {
		f.failed++
		return
	}
	picker.Started(f.millis(), picked.ID)
	server := f.servers[slices.IndexFunc(f.servers, func(s *fakeServer) bool { return fakeID(slices.Index(f.servers, s)) == picked.ID })]
	sent := f.now
	end := func(result bulrushchute.ResultKind, load bulrushchute.Load) {
		picker.Observe(f.millis(), bulrushchute.Observation{Instance: picked.ID, ElapsedMs: f.now - sent, Load: &load, Result: result})
		if result == bulrushchute.ResultNotRun {
			f.try(entry, arrived, append(tried, picked.ID))
			return
		}
		f.times = append(f.times, f.now-arrived)
	}
	f.after(fakeNetworkMs, func() { f.offer(server, end) })
}

func (f *fake) offer(s *fakeServer, end func(bulrushchute.ResultKind, bulrushchute.Load)) {
	if s.busy >= fakeSlots && len(s.queue) >= fakeQueue {
		load := s.load()
		f.after(fakeNetworkMs, func() { end(bulrushchute.ResultNotRun, load) })
		return
	}
	s.queue = append(s.queue, func() { f.serve(s, end) })
	f.dequeue(s)
}

func (f *fake) dequeue(s *fakeServer) {
	for s.busy < fakeSlots && len(s.queue) > 0 {
		serve := s.queue[0]
		s.queue = s.queue[1:]
		s.busy++
		serve()
	}
}

func (f *fake) serve(s *fakeServer, end func(bulrushchute.ResultKind, bulrushchute.Load)) {
	ms := fakeServiceMs * s.factor * math.Exp(0.5*f.random.NormFloat64()-0.125)
	if s.slow {
		ms *= fakeSlowFactor
	}
	f.after(ms, func() {
		s.busy--
		s.serviceMs += 0.1 * (ms - s.serviceMs)
		load := s.load()
		f.after(fakeNetworkMs, func() { end(bulrushchute.ResultAnswered, load) })
		f.dequeue(s)
	})
}

func (s *fakeServer) load() bulrushchute.Load {
	load := bulrushchute.Load{InFlight: s.busy, Queued: len(s.queue), Limit: fakeSlots, ServiceMs: s.serviceMs}
	if s.lies {
		load.InFlight, load.Queued, load.ServiceMs = 0, 0, 1
	}
	return load
}

func (f *fake) quantile(q float64) float64 {
	return f.times[min(int(q*float64(len(f.times))), len(f.times)-1)]
}
