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

// phase is a request's state in the model.
type phase uint8

const (
	phaseWaiting phase = iota + 1
	phaseRunning
	phaseEnded
)

// model drives a controller with random events and checks its guarantees.
type model struct {
	c         *Controller
	now       bulrushchute.Millis
	lastID    uint64
	requests  map[bulrushchute.AttemptID]Request
	phases    map[bulrushchute.AttemptID]phase
	settings  Settings
	withdrawn bool
	probedAt  []bulrushchute.Millis
	// rampStartedAt is when the ramp last started or was cut to its initial
	// limit, and rampEpoch the last epoch seen by checkRamp.
	rampStartedAt bulrushchute.Millis
	rampEpoch     uint64
}

func newModel(t *rapid.T) *model {
	m := &model{
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

func (m *model) inPhase(p phase) []bulrushchute.AttemptID {
	var ids []bulrushchute.AttemptID
	for n := uint64(1); n <= m.lastID; n++ {
		if m.phases[attemptID(n)] == p {
			ids = append(ids, attemptID(n))
		}
	}
	return ids
}

func (m *model) offer(t *rapid.T) {
	m.lastID++
	request := Request{
		ID:       attemptID(m.lastID),
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
		assert.Assert(t, !m.withdrawn && request.Deadline > m.now)
	}
	m.checkReleases(t, decision.Releases)
}

// checkReleases checks that each queued request is released at most once, that
// none is dispatched past its deadline, and that less important requests are
// shed first.
func (m *model) checkReleases(t *rapid.T, releases []Release) {
	for _, release := range releases {
		request := m.requests[release.ID]
		assert.Equal(t, m.phases[release.ID], phaseWaiting, "release of a request that was not queued")
		m.phases[release.ID] = phaseEnded
		if release.Admitted {
			m.phases[release.ID] = phaseRunning
			assert.Assert(t, request.Deadline > m.now, "dispatched after its deadline")
			continue
		}
		assert.Assert(t, release.Refusal.RetryAfter >= 1)
		if release.Refusal.Reason == bulrushchute.ReasonShed {
			for class := int(request.Class) + 1; class < bulrushchute.ClassCount; class++ {
				assert.Equal(t, m.c.QueuedByClass()[class], 0, "shed while less important requests are queued")
			}
		}
	}
}

func (m *model) done(t *rapid.T) {
	running := m.inPhase(phaseRunning)
	if len(running) == 0 {
		return
	}
	id := rapid.SampledFrom(running).Draw(t, "id")
	kinds := []bulrushchute.ResultKind{bulrushchute.ResultAnswered, bulrushchute.ResultAnswered, bulrushchute.ResultAnswered,
		bulrushchute.ResultServerError, bulrushchute.ResultUnknown, bulrushchute.ResultNotSent, bulrushchute.ResultCancelled}
	m.phases[id] = phaseEnded
	m.checkReleases(t, m.c.Done(m.now, id, Result{
		Kind:       rapid.SampledFrom(kinds).Draw(t, "kind"),
		ElapsedMs:  rapid.Float64Range(0, 100).Draw(t, "elapsed"),
		Overloaded: rapid.IntRange(0, 20).Draw(t, "overloaded") == 0,
		Cold:       rapid.IntRange(0, 20).Draw(t, "cold") == 0,
	}))
}

func (m *model) probe(t *rapid.T) {
	kind := ProbeKind(rapid.IntRange(0, ProbeKindCount-1).Draw(t, "probe"))
	if m.c.AllowProbe(m.now, kind) {
		m.probedAt = append(m.probedAt, m.now)
		m.checkReleases(t, m.c.ObserveProbe(m.now, ProbeReport{Kind: kind, Failed: rapid.Bool().Draw(t, "failed")}))
	}
}

func (m *model) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"offer":  m.offer,
		"offer2": m.offer,
		"done":   m.done,
		"probe":  m.probe,
		"pass": func(t *rapid.T) {
			m.now += bulrushchute.Millis(rapid.IntRange(0, 60).Draw(t, "span"))
			m.checkReleases(t, m.c.Tick(m.now))
		},
		"clock goes back": func(t *rapid.T) { m.checkReleases(t, m.c.Tick(m.now-100)) },
		"cancel": func(t *rapid.T) {
			id := attemptID(uint64(rapid.IntRange(1, 50).Draw(t, "id")))
			m.checkReleases(t, m.c.Cancel(m.now, id))
		},
		"settings": func(t *rapid.T) {
			m.settings.Limits.Slots = rapid.IntRange(1, 12).Draw(t, "slots")
			m.settings.Limits.Queue = rapid.IntRange(1, 6).Draw(t, "queue")
			m.checkReleases(t, m.c.SetSettings(m.now, m.settings))
		},
		"started": func(t *rapid.T) { m.checkReleases(t, m.c.BackendStarted(m.now, Announcement{})) },
		"drain": func(t *rapid.T) {
			m.withdrawn = rapid.IntRange(0, 3).Draw(t, "closed") == 0
			m.c.SetWithdrawn(m.now, m.withdrawn)
		},
		"": m.check,
	}
}

// check verifies the invariants that hold after every event.
func (m *model) check(t *rapid.T) {
	load := m.c.Load()
	limits := m.settings.Limits
	waiting := m.inPhase(phaseWaiting)
	assert.Equal(t, load.InFlight, len(m.inPhase(phaseRunning)))
	assert.Equal(t, load.Queued, len(waiting))
	assert.Assert(t, load.Limit >= 1 && load.Limit <= min(limits.Slots, max(1, limits.Connections-1)))
	assert.Assert(t, load.Queued == 0 || load.InFlight >= load.Limit, "request queued while a slot is free")
	assert.Assert(t, load.Queued <= totalQueueFactor*limits.Queue)
	for _, n := range m.c.QueuedByClass() {
		assert.Assert(t, n <= limits.Queue)
	}
	for _, id := range waiting {
		assert.Assert(t, m.c.NextTick() <= m.requests[id].Deadline, "next tick is after the deadline of a queued request")
	}
	m.checkRamp(t)
	m.checkProbeBudget(t)
}

// checkRamp checks that the ramp's limit stays within the growth allowed by the
// time since it started.
func (m *model) checkRamp(t *rapid.T) {
	if m.c.epoch != m.rampEpoch {
		m.rampEpoch = m.c.epoch
		if m.c.ramp.limit <= float64(m.c.coldSlots()) {
			m.rampStartedAt = m.now
		}
	}
	if m.c.ramp.warming && m.rampStartedAt > 0 {
		// newModel draws at most 12 slots.
		grown := float64(12*(m.now-m.rampStartedAt)) / float64(m.settings.Limits.WarmMs)
		assert.Assert(t, m.c.ramp.limit <= float64(m.settings.Limits.ColdSlots)+grown+epsilon)
		assert.Assert(t, float64(m.c.limit()) <= m.c.ramp.limit+epsilon)
	}
}

func (m *model) checkProbeBudget(t *rapid.T) {
	for i, from := range m.probedAt {
		span := m.now - from
		sent := float64(len(m.probedAt) - i)
		assert.Assert(t, sent <= probeBurst+bulrushcatalogue.DefaultProbeBudgetPerS*float64(span)/1000+epsilon)
	}
}

// Guards against violated guarantees in any order of events: requests in flight
// beyond a limit, lost or repeated releases, dispatch past a deadline, and
// shedding in the wrong order.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(m.actions())
		m.now += bulrushchute.Minute
		m.checkReleases(t, m.c.Tick(m.now))
		assert.Equal(t, len(m.inPhase(phaseWaiting)), 0, "queued request was not released")
	})
}

// Guards against starving a tenant with queued requests while others, of any
// weight and class, keep their queues full.
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
		// 300 turns give the bulk class at least 300/21 = 14. Of these, its
		// four tenants with weights of at most 4, 1, 1 and 1 get at least a
		// seventh each.
		assert.Assert(t, served["quiet"] >= 2, "served %v", served)
	})
}
