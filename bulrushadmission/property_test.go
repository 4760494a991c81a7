package bulrushadmission

import (
	"encoding/binary"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
)

func attemptID(n uint64) (id bulrushchute.AttemptID) {
	binary.BigEndian.PutUint64(id[:], n)
	return id
}

// phase is what the model knows of a request.
type phase uint8

const (
	phaseWaiting phase = iota + 1
	phaseRunning
	phaseEnded
)

// machine drives a controller with random events and mirrors its promises.
type machine struct {
	c        *Controller
	now      bulrushchute.Millis
	last     uint64
	requests map[bulrushchute.AttemptID]Request
	phases   map[bulrushchute.AttemptID]phase
	settings Settings
	closed   bool
	probedAt []bulrushchute.Millis
	// rampAt and rampEpoch bound the ramp from its start by the clock alone.
	rampAt   bulrushchute.Millis
	rampEach uint64
}

func newMachine(t *rapid.T) *machine {
	m := &machine{
		now:      1000,
		requests: map[bulrushchute.AttemptID]Request{},
		phases:   map[bulrushchute.AttemptID]phase{},
		settings: Settings{
			Limits: bulrushcatalogue.Limits{
				Slots:       rapid.IntRange(1, 12).Draw(t, "slots"),
				Connections: rapid.IntRange(1, 20).Draw(t, "connections"),
				Queue:       rapid.IntRange(1, 6).Draw(t, "queue"),
				ColdSlots:   rapid.IntRange(1, 3).Draw(t, "cold_slots"),
				WarmMs:      500,
			},
			Tenants: []bulrushcatalogue.TenantShare{{Tenant: "a", Weight: 3}},
		},
	}
	m.c = New(m.now, m.settings)
	return m
}

func (m *machine) inPhase(p phase) []bulrushchute.AttemptID {
	var ids []bulrushchute.AttemptID
	for n := uint64(1); n <= m.last; n++ {
		if m.phases[attemptID(n)] == p {
			ids = append(ids, attemptID(n))
		}
	}
	return ids
}

func (m *machine) offer(t *rapid.T) {
	m.last++
	request := Request{
		ID:       attemptID(m.last),
		Route:    rapid.SampledFrom([]string{"r", "s"}).Draw(t, "route"),
		Tenant:   bulrushchute.Tenant(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "tenant")),
		Class:    bulrushchute.Class(rapid.IntRange(0, 2).Draw(t, "class")),
		Deadline: m.now + bulrushchute.Millis(rapid.IntRange(-5, 400).Draw(t, "deadline")),
	}
	m.requests[request.ID] = request
	decision := m.c.Offer(m.now, request)
	m.phases[request.ID] = map[Verdict]phase{Admitted: phaseRunning, Queued: phaseWaiting, Refused: phaseEnded}[decision.Verdict]
	if decision.Verdict == Refused {
		assert.Assert(t, decision.Refusal.Reason != "" && decision.Refusal.RetryAfter >= 1)
	} else {
		assert.Assert(t, !m.closed && request.Deadline > m.now)
	}
	m.take(t, decision.Releases)
}

// take checks releases: exactly one each, in time, and the least important first.
func (m *machine) take(t *rapid.T, releases []Release) {
	for _, release := range releases {
		request := m.requests[release.ID]
		assert.Equal(t, m.phases[release.ID], phaseWaiting, "a release needs a waiting request")
		m.phases[release.ID] = phaseEnded
		if release.Admitted {
			m.phases[release.ID] = phaseRunning
			assert.Assert(t, request.Deadline > m.now, "dispatched past its deadline")
			continue
		}
		assert.Assert(t, release.Refusal.RetryAfter >= 1)
		if release.Refusal.Reason == bulrushchute.ReasonShed {
			for class := int(request.Class) + 1; class < bulrushchute.ClassCount; class++ {
				assert.Equal(t, m.c.Waiting()[class], 0, "shed before less important work")
			}
		}
	}
}

func (m *machine) done(t *rapid.T) {
	running := m.inPhase(phaseRunning)
	if len(running) == 0 {
		return
	}
	id := rapid.SampledFrom(running).Draw(t, "id")
	kinds := []bulrushchute.ResultKind{bulrushchute.ResultAnswered, bulrushchute.ResultAnswered, bulrushchute.ResultAnswered,
		bulrushchute.ResultServerError, bulrushchute.ResultUnknown, bulrushchute.ResultNotSent, bulrushchute.ResultCancelled}
	m.phases[id] = phaseEnded
	m.take(t, m.c.Done(m.now, id, Result{
		Kind:       rapid.SampledFrom(kinds).Draw(t, "kind"),
		ElapsedMs:  rapid.Float64Range(0, 100).Draw(t, "elapsed"),
		Overloaded: rapid.IntRange(0, 20).Draw(t, "overloaded") == 0,
		Cold:       rapid.IntRange(0, 20).Draw(t, "cold") == 0,
	}))
}

func (m *machine) probe(t *rapid.T) {
	kind := ProbeKind(rapid.IntRange(0, ProbeKindCount-1).Draw(t, "probe"))
	if m.c.TakeProbe(m.now, kind) {
		m.probedAt = append(m.probedAt, m.now)
		m.take(t, m.c.ObserveProbe(m.now, ProbeReport{Kind: kind, Failed: rapid.Bool().Draw(t, "failed")}))
	}
}

func (m *machine) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"offer":  m.offer,
		"offer2": m.offer,
		"done":   m.done,
		"probe":  m.probe,
		"pass": func(t *rapid.T) {
			m.now += bulrushchute.Millis(rapid.IntRange(0, 60).Draw(t, "span"))
			m.take(t, m.c.Tick(m.now))
		},
		"clock goes back": func(t *rapid.T) { m.take(t, m.c.Tick(m.now-100)) },
		"cancel": func(t *rapid.T) {
			id := attemptID(uint64(rapid.IntRange(1, 50).Draw(t, "id")))
			m.take(t, m.c.Cancel(m.now, id))
		},
		"settings": func(t *rapid.T) {
			m.settings.Limits.Slots = rapid.IntRange(1, 12).Draw(t, "slots")
			m.settings.Limits.Queue = rapid.IntRange(1, 6).Draw(t, "queue")
			m.take(t, m.c.SetSettings(m.now, m.settings))
		},
		"started": func(t *rapid.T) { m.take(t, m.c.BackendStarted(m.now, Announcement{})) },
		"drain": func(t *rapid.T) {
			m.closed = rapid.IntRange(0, 3).Draw(t, "closed") == 0
			m.c.Withdraw(m.now, m.closed)
		},
		"": m.check,
	}
}

// check holds after every event.
func (m *machine) check(t *rapid.T) {
	load := m.c.Load()
	limits := m.settings.Limits
	waiting := m.inPhase(phaseWaiting)
	assert.Equal(t, load.InFlight, len(m.inPhase(phaseRunning)))
	assert.Equal(t, load.Queued, len(waiting))
	assert.Assert(t, load.Limit >= 1 && load.Limit <= min(limits.Slots, max(1, limits.Connections-1)))
	assert.Assert(t, load.Queued == 0 || load.InFlight >= load.Limit, "work waits beside a free slot")
	assert.Assert(t, load.Queued <= totalQueueFactor*limits.Queue)
	for _, n := range m.c.Waiting() {
		assert.Assert(t, n <= limits.Queue)
	}
	for _, id := range waiting {
		assert.Assert(t, m.c.NextTick() <= m.requests[id].Deadline, "a wait would outlast its deadline")
	}
	m.checkRamp(t)
	m.checkBudget(t)
}

// checkRamp bounds the ramp by the time since it started.
func (m *machine) checkRamp(t *rapid.T) {
	if m.c.epoch != m.rampEach {
		m.rampEach = m.c.epoch
		if m.c.ramp.limit <= float64(m.c.coldSlots()) {
			m.rampAt = m.now
		}
	}
	if m.c.ramp.warming && m.rampAt > 0 {
		grown := float64(12*(m.now-m.rampAt)) / float64(m.settings.Limits.WarmMs)
		assert.Assert(t, m.c.ramp.limit <= float64(m.settings.Limits.ColdSlots)+grown+rounding)
		assert.Assert(t, float64(m.c.limit()) <= m.c.ramp.limit+rounding)
	}
}

func (m *machine) checkBudget(t *rapid.T) {
	for i, from := range m.probedAt {
		span := m.now - from
		sent := float64(len(m.probedAt) - i)
		assert.Assert(t, sent <= probeBurst+bulrushcatalogue.DefaultProbesPerS*float64(span)/1000+rounding)
	}
}

// Guards against broken promises in any order of events: work beyond a limit,
// lost or repeated releases, dispatch past a deadline, unordered shedding.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		t.Repeat(m.actions())
		m.now += bulrushchute.Minute
		m.take(t, m.c.Tick(m.now))
		assert.Equal(t, len(m.inPhase(phaseWaiting)), 0, "a queued request got no release")
	})
}

// Guards against a tenant whose waiting work is passed over while others, of
// any weight and class, keep their queues full.
func TestNoTenantStarves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tenants := []bulrushchute.Tenant{"quiet", "b", "c", "d"}
		c := New(0, Settings{
			Limits:  bulrushcatalogue.Limits{Slots: rapid.IntRange(1, 8).Draw(t, "slots"), Queue: 40, QueueMs: bulrushchute.Hour},
			Tenants: []bulrushcatalogue.TenantShare{{Tenant: "b", Weight: rapid.IntRange(1, 4).Draw(t, "weight")}},
		})
		c.ramp.warming = false
		var running []bulrushchute.AttemptID
		served := map[bulrushchute.Tenant]int{}
		owner := map[bulrushchute.AttemptID]bulrushchute.Tenant{}
		for n := uint64(0); n < 400; n++ {
			tenant := tenants[n%4]
			request := Request{ID: attemptID(n), Tenant: tenant, Class: bulrushchute.Class(rapid.IntRange(0, 2).Draw(t, "class")), Deadline: bulrushchute.Hour}
			if tenant == "quiet" {
				request.Class = bulrushchute.ClassBulk
			}
			owner[request.ID] = tenant
			decision := c.Offer(0, request)
			if decision.Verdict == Admitted {
				running = append(running, request.ID)
			}
			if n >= 100 {
				i := rapid.IntRange(0, len(running)-1).Draw(t, "end")
				releases := c.Done(0, running[i], Result{Kind: bulrushchute.ResultAnswered, ElapsedMs: 1})
				running = append(running[:i], running[i+1:]...)
				for _, release := range releases {
					running = append(running, release.ID)
					served[owner[release.ID]]++
				}
			}
		}
		// 300 turns give the bulk class at least 300/21 = 14, and its four
		// tenants with weights of at most 4, 1, 1 and 1 a seventh each.
		assert.Assert(t, served["quiet"] >= 2, "served %v", served)
	})
}
