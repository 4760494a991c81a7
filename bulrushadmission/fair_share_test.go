package bulrushadmission_test

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushadmission"
	"bulrushchute.example/bulrushchute/bulrushattempt"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
	"bulrushchute.example/bulrushchute/bulrushrouting"
)

const (
	fairServers = 4
	fairEntries = 8
	// fairUsedSlots is the number of slots that a server uses, four fifths of all.
	fairUsedSlots = 8
	// fairMeanMs is the mean time that a request holds a slot.
	fairMeanMs   = 20
	fairSpan     = 12 * bulrushchute.Second
	fairWarmup   = 2 * bulrushchute.Second
	fairDeadline = 400 * bulrushchute.Millisecond
	fairOthers   = 75
	heavyTenant  = bulrushchute.Tenant("heavy")
	// leastRatio is the least ratio of a tenant's share of served requests to that of
	// all tenants that the rule permits.
	leastRatio = 0.25
)

// fairCase is a load pattern. Loads are multiples of the capacity.
type fairCase struct {
	load float64
	// heavyShare is the heavy tenant's part of all requests, 0 for that of a tenant
	// with ten times the load of each of the 75 others.
	heavyShare              float64
	heavyClass, othersClass bulrushchute.Class
	// oneEntry makes all callers enter at one node that are of the heavy tenant or of
	// the first five others.
	oneEntry bool
	// repeats is how often a caller of the heavy tenant repeats a refused request, at
	// intervals of 5 ms.
	repeats int
	limits  bulrushcatalogue.Limits
	// slots is the number of slots that a server uses, 0 for fairUsedSlots.
	slots int
	// capacity is the number of requests that a server takes in a second, 0 for that
	// of its slots.
	capacity float64
	// disturb puts a server into the state that the case is about.
	disturb func(fr *fairReplay, server int)
	// leastOther is the least share of the requests of each other tenant that is
	// served, where all others together ask for less than their fair shares.
	leastOther float64
}

// fairReplay replays the requests of many tenants to a few servers of one service,
// with the controllers, retry budgets and routers of the nodes.
type fairReplay struct {
	fc      fairCase
	slots   int
	now     bulrushchute.Millis
	random  *rand.Rand
	servers []*bulrushadmission.Controller
	entries []fairEntry
	factors []float64
	waiting map[bulrushchute.AttemptID]*fairRequest
	ends    map[bulrushchute.Millis][]*fairRequest
	again   map[bulrushchute.Millis][]*fairRequest
	lastID  uint64

	offered, served map[bulrushchute.Tenant]int
}

type fairEntry struct {
	budgets *bulrushattempt.Budgets
	router  *bulrushrouting.Router
}

type fairRequest struct {
	tenant    bulrushchute.Tenant
	class     bulrushchute.Class
	arrivedAt bulrushchute.Millis
	entry     int
	repeats   int

	machine   *bulrushattempt.Machine
	id        bulrushchute.AttemptID
	number    int
	server    int
	sentAt    bulrushchute.Millis
	startedAt bulrushchute.Millis
}

func serverID(server int) bulrushchute.InstanceID {
	return bulrushchute.InstanceID(fmt.Sprint("s", server))
}

func newFairReplay(fc fairCase) *fairReplay {
	if fc.slots == 0 {
		fc.slots = fairUsedSlots
	}
	announced := fc.slots * 10 / 8
	fr := &fairReplay{
		fc: fc, slots: announced, now: 1_700_000_000_000, random: rand.New(rand.NewPCG(7, 11)),
		waiting: map[bulrushchute.AttemptID]*fairRequest{},
		ends:    map[bulrushchute.Millis][]*fairRequest{}, again: map[bulrushchute.Millis][]*fairRequest{},
		offered: map[bulrushchute.Tenant]int{}, served: map[bulrushchute.Tenant]int{},
	}
	fc.limits.Slots = announced
	var members []bulrushchute.Instance
	for server := range fairServers {
		c := bulrushadmission.New(fr.now, bulrushadmission.Settings{Limits: fc.limits})
		c.BackendStarted(fr.now, bulrushadmission.Announcement{Slots: announced})
		fr.servers, fr.factors = append(fr.servers, c), append(fr.factors, 1)
		members = append(members, bulrushchute.Instance{ID: serverID(server), DataCentre: "d", State: bulrushchute.StateReady, Slots: announced})
	}
	for entry := range fairEntries {
		self := bulrushchute.InstanceID(fmt.Sprint("e", entry))
		router := bulrushrouting.NewRouter(bulrushrouting.Settings{Self: self, DataCentre: "d"}, rand.New(rand.NewPCG(uint64(entry), 5)))
		router.Update(fr.now, members, nil)
		fr.entries = append(fr.entries, fairEntry{budgets: bulrushattempt.NewBudgets(fr.now), router: router})
	}
	return fr
}

// run replays the whole load pattern.
func (fr *fairReplay) run() {
	capacity := cmp.Or(fr.fc.capacity, float64(fr.fc.slots)*1000/fairMeanMs) * fairServers
	perMs := fr.fc.load * capacity / 1000
	heavyShare := cmp.Or(fr.fc.heavyShare, 10.0/(10+fairOthers))
	begin := fr.now
	for ; fr.now < begin+fairSpan; fr.now++ {
		fr.step()
		for left := perMs; left > fr.random.Float64(); left-- {
			fr.arrive(heavyShare, fr.now >= begin+fairWarmup && fr.now < begin+fairSpan-fairDeadline)
		}
	}
}

func (fr *fairReplay) step() {
	for server, c := range fr.servers {
		if fr.fc.disturb != nil {
			fr.fc.disturb(fr, server)
		}
		if fr.now%10 == 0 {
			fr.apply(c.ObserveLoad(fr.now, bulrushchute.BackendLoad{Slots: fr.slots, Slowdown: fr.factors[server]}))
		}
		if c.NextTick() <= fr.now {
			fr.apply(c.Tick(fr.now))
		}
	}
	for _, request := range fr.ends[fr.now] {
		fr.answer(request)
	}
	delete(fr.ends, fr.now)
	for _, request := range fr.again[fr.now] {
		fr.begin(request)
	}
	delete(fr.again, fr.now)
}

func (fr *fairReplay) arrive(heavyShare float64, counted bool) {
	request := &fairRequest{class: fr.fc.othersClass, arrivedAt: fr.now, entry: fr.random.IntN(fairEntries)}
	other := fr.random.IntN(fairOthers)
	request.tenant = bulrushchute.Tenant(fmt.Sprint("t", other))
	heavy := fr.random.Float64() < heavyShare
	if heavy {
		request.tenant, request.class, request.repeats = heavyTenant, fr.fc.heavyClass, fr.fc.repeats
	}
	if fr.fc.oneEntry && (heavy || other < 5) {
		request.entry = 0
	}
	if counted {
		fr.offered[request.tenant]++
	} else {
		request.arrivedAt = -request.arrivedAt
	}
	fr.begin(request)
}

// deadline returns the deadline of a request. Negative arrival times mark requests
// that are not counted.
func (request *fairRequest) deadline() bulrushchute.Millis {
	return max(request.arrivedAt, -request.arrivedAt) + fairDeadline
}

func (fr *fairReplay) begin(request *fairRequest) {
	info := bulrushchute.RequestInfo{
		Tenant: request.tenant, Class: request.class, Deadline: request.deadline(), Idempotent: true, WithoutHedge: true,
	}
	request.machine = bulrushattempt.New(info, fr.entries[request.entry].budgets, fr.now)
	fr.advance(request)
}

// advance carries out the actions of the request's machine until it waits.
func (fr *fairReplay) advance(request *fairRequest) {
	for {
		action := request.machine.Next(fr.now)
		switch action.Kind {
		case bulrushattempt.ActionSend:
			if !fr.send(request, action) {
				continue
			}
			return
		case bulrushattempt.ActionFinish:
			fr.finish(request, action.FinalResult.Outcome)
			return
		default:
			return
		}
	}
}

// send offers an attempt to a server. It reports whether the attempt runs or waits.
func (fr *fairReplay) send(request *fairRequest, action bulrushattempt.Action) bool {
	entry := fr.entries[request.entry]
	instance, found := entry.router.Pick(fr.now, bulrushchute.PickQuery{Exclude: action.Exclude})
	if !found {
		request.machine.NoBackend(fr.now, action.Attempt)
		return false
	}
	_, other := entry.router.Pick(fr.now, bulrushchute.PickQuery{Exclude: append(slices.Clone(action.Exclude), instance.ID)})
	request.machine.Sent(fr.now, action.Attempt, instance.ID)
	entry.router.Started(fr.now, instance.ID)
	fr.lastID++
	binary.BigEndian.PutUint64(request.id[:], fr.lastID)
	request.number, request.server, request.sentAt = action.Attempt, int(instance.ID[1]-'0'), fr.now
	decision := fr.servers[request.server].Offer(fr.now, bulrushadmission.Request{
		ID: request.id, Route: "r", Tenant: request.tenant, Class: request.class, Deadline: request.deadline(),
		Insist: action.Last || !other,
	})
	switch decision.Verdict {
	case bulrushadmission.Admitted:
		fr.start(request)
	case bulrushadmission.Queued:
		fr.waiting[request.id] = request
	default:
		fr.refuse(request, decision.Refusal)
	}
	fr.apply(decision.Releases)
	return decision.Verdict != bulrushadmission.Refused
}

func (fr *fairReplay) start(request *fairRequest) {
	tookMs := fairMeanMs * (0.5 + fr.random.Float64()) * fr.factors[request.server]
	request.startedAt = fr.now
	at := fr.now + max(1, bulrushchute.Millis(tookMs))
	fr.ends[at] = append(fr.ends[at], request)
}

func (fr *fairReplay) observe(request *fairRequest, kind bulrushchute.ResultKind, slowFor bulrushchute.Millis) {
	load := fr.servers[request.server].Load()
	fr.entries[request.entry].router.Observe(fr.now, bulrushchute.Observation{
		Instance: serverID(request.server), ElapsedMs: float64(fr.now - request.sentAt), Result: kind, Load: &load, SlowFor: slowFor,
	})
}

func (fr *fairReplay) refuse(request *fairRequest, refusal bulrushchute.Refusal) {
	var slowFor bulrushchute.Millis
	if refusal.Reason == bulrushchute.ReasonSlow || refusal.Reason == bulrushchute.ReasonServerLimit {
		slowFor = refusal.RetryAfter
	}
	fr.observe(request, bulrushchute.ResultNotRun, slowFor)
	request.machine.Ended(fr.now, request.number, bulrushattempt.End{
		Result: bulrushchute.ResultNotRun, Reason: refusal.Reason, RetryAfter: refusal.RetryAfter,
	})
}

func (fr *fairReplay) apply(releases []bulrushadmission.Release) {
	for _, release := range releases {
		request := fr.waiting[release.ID]
		delete(fr.waiting, release.ID)
		if release.Admitted {
			fr.start(request)
			continue
		}
		fr.refuse(request, release.Refusal)
		fr.advance(request)
	}
}

func (fr *fairReplay) answer(request *fairRequest) {
	elapsed := float64(fr.now - request.startedAt)
	releases := fr.servers[request.server].Done(fr.now, request.id, bulrushadmission.Result{Kind: bulrushchute.ResultAnswered, ElapsedMs: elapsed})
	fr.observe(request, bulrushchute.ResultAnswered, 0)
	request.machine.Ended(fr.now, request.number, bulrushattempt.End{Result: bulrushchute.ResultAnswered})
	fr.advance(request)
	fr.apply(releases)
}

// finish counts a served request, and repeats one that was not if its caller does so.
func (fr *fairReplay) finish(request *fairRequest, outcome bulrushchute.Outcome) {
	switch {
	case outcome == bulrushchute.OutcomeAnswered && fr.now <= request.deadline():
		if request.arrivedAt > 0 {
			fr.served[request.tenant]++
		}
	case request.repeats > 0 && fr.now+5 < request.deadline():
		request.repeats--
		fr.again[fr.now+5] = append(fr.again[fr.now+5], request)
	}
}

// shares are the shares of requests that are served.
type shares struct {
	all, heavy, least, greatest float64
}

func (fr *fairReplay) shares() shares {
	s := shares{least: 1}
	offered, served := 0, 0
	for _, tenant := range slices.Sorted(maps.Keys(fr.offered)) {
		offered += fr.offered[tenant]
		served += fr.served[tenant]
		share := float64(fr.served[tenant]) / float64(fr.offered[tenant])
		if tenant == heavyTenant {
			s.heavy = share
			continue
		}
		s.least, s.greatest = min(s.least, share), max(s.greatest, share)
	}
	s.all = float64(served) / float64(offered)
	return s
}

// slowedAtTimes slows a server's machine down by a factor of 4 for 300 ms of each
// 900 ms, not at the same time as the others'.
func slowedAtTimes(fr *fairReplay, server int) {
	fr.factors[server] = 1
	if (fr.now+bulrushchute.Millis(server)*200)%900 < 300 {
		fr.factors[server] = 4
	}
}

// slowedTogether slows all servers' machines down for most of the time.
func slowedTogether(fr *fairReplay, server int) {
	fr.factors[server] = 1
	if fr.now%4000 < 3200 {
		fr.factors[server] = 4
	}
}

func cold(fr *fairReplay, server int) {
	if fr.now%100 == 0 {
		fr.apply(fr.servers[server].ObserveCold(fr.now, 10*bulrushchute.Second))
	}
}

func namingLimit(fr *fairReplay, server int) {
	if fr.now%100 == 0 {
		perS := 100.0
		fr.apply(fr.servers[server].ObserveNamedLimit(fr.now, &perS, true))
	}
}

// fairCases are the load patterns of docs/design/fair-shares.md.
func fairCases() map[string]fairCase {
	const critical, standard, bulk = bulrushchute.ClassCritical, bulrushchute.ClassStandard, bulrushchute.ClassBulk
	coldLimits := bulrushcatalogue.Limits{ColdPerS: 80}
	return map[string]fairCase{
		"ten times, load 0.9":          {load: 0.9, leastOther: 0.98},
		"ten times, load 1.3":          {load: 1.3},
		"ten times, load 2":            {load: 2},
		"deep queue, load 1.3":         {load: 1.3, limits: bulrushcatalogue.Limits{Queue: 200}},
		"deep queue, load 2":           {load: 2, limits: bulrushcatalogue.Limits{Queue: 200}},
		"deep queue, large, load 2":    {load: 2, heavyShare: 0.6, limits: bulrushcatalogue.Limits{Queue: 200}, leastOther: 0.98},
		"deep, slow queue, load 2":     {load: 2, limits: bulrushcatalogue.Limits{Queue: 200, QueueMs: 2000}},
		"many slots, load 1.3":         {load: 1.3, slots: 48},
		"many slots, load 2":           {load: 2, slots: 48},
		"half of all, load 1.3":        {load: 1.3, heavyShare: 0.5, leastOther: 0.98},
		"large, load 2":                {load: 2, heavyShare: 0.6, leastOther: 0.98},
		"flood, load 4":                {load: 4, heavyShare: 0.85, leastOther: 0.98},
		"one entry, load 1.3":          {load: 1.3, oneEntry: true},
		"one entry, large, load 2":     {load: 2, heavyShare: 0.6, oneEntry: true, leastOther: 0.98},
		"heavy critical, load 1.3":     {load: 1.3, heavyClass: critical, othersClass: standard},
		"heavy bulk, load 1.3":         {load: 1.3, heavyClass: bulk, othersClass: standard},
		"heavy bulk, large, load 2":    {load: 2, heavyShare: 0.6, heavyClass: bulk, othersClass: standard},
		"repeats, load 1.3":            {load: 1.3, repeats: 20},
		"repeats, half, load 1.3":      {load: 1.3, heavyShare: 0.5, repeats: 20, leastOther: 0.98},
		"repeats, one entry, half":     {load: 1.3, heavyShare: 0.5, repeats: 20, oneEntry: true, leastOther: 0.98},
		"cold, load 0.9":               {load: 0.9, limits: coldLimits, capacity: 95, disturb: cold, leastOther: 0.98},
		"cold, load 1.3":               {load: 1.3, limits: coldLimits, capacity: 95, disturb: cold},
		"cold, large, load 1.5":        {load: 1.5, heavyShare: 0.6, limits: coldLimits, capacity: 95, disturb: cold, leastOther: 0.98},
		"cold, few a second, load 0.8": {load: 0.8, limits: bulrushcatalogue.Limits{ColdPerS: 12}, capacity: 14, disturb: cold},
		"named limit, load 1.3":        {load: 1.3, capacity: 100, disturb: namingLimit},
		"named limit, large, load 2":   {load: 2, heavyShare: 0.6, capacity: 100, disturb: namingLimit, leastOther: 0.96},
		"slowed at times, load 0.9":    {load: 0.9, disturb: slowedAtTimes},
		"slowed at times, large, 1.3":  {load: 1.3, heavyShare: 0.6, disturb: slowedAtTimes, leastOther: 0.9},
		"all slowed, load 0.5":         {load: 0.5, disturb: slowedTogether},
		"all slowed, large, load 0.8":  {load: 0.8, heavyShare: 0.7, disturb: slowedTogether, leastOther: 0.6},
	}
}

// Guards against tenants that are served less than a quarter as often as all
// together, and against small tenants that lose requests to a large one.
func TestFairShares(t *testing.T) {
	cases := fairCases()
	for _, name := range slices.Sorted(maps.Keys(cases)) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fc := cases[name]
			fr := newFairReplay(fc)
			fr.run()
			s := fr.shares()
			t.Logf("%-30s all %.3f, heavy %.3f, others least %.3f, greatest %.3f", name, s.all, s.heavy, s.least, s.greatest)
			assert.Assert(t, s.least >= max(fc.leastOther, leastRatio*s.all))
			assert.Assert(t, s.heavy >= leastRatio*s.all)
		})
	}
}
