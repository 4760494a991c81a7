package bulrushadmission

import (
	"bulrushchute.example/bulrushchute"
)

// Never is returned by NextTick when nothing is due.
const Never = bulrushchute.Millis(1<<63 - 1)

// drainQueueTimeout limits how long queued requests may still wait once new
// requests are refused, so that the server receives nothing long after it
// started leaving.
const drainQueueTimeout = bulrushchute.Second

// Controller is the admission state machine of one backend server.
type Controller struct {
	settings  Settings
	weights   map[bulrushchute.Tenant]int
	announced Announcement

	// now never decreases, even if the owner's clock steps back.
	now bulrushchute.Millis
	// nextExpiry and nextOverdue are the earliest times at which the wait of a
	// queued request may end and at which a missing answer may become overdue.
	nextExpiry  bulrushchute.Millis
	nextOverdue bulrushchute.Millis

	requests map[bulrushchute.AttemptID]*requestState
	running  []*requestState
	queue    waitQueue
	// freeStates holds request states for reuse.
	freeStates []*requestState

	usage map[bulrushchute.Tenant]*tenantUsage
	// activeWeight is the sum of the weights of the tenants in usage.
	activeWeight int
	// freeUsage avoids an allocation when a tenant's only request ends and its
	// next one arrives.
	freeUsage *tenantUsage

	baselines baselineTable
	adaptive  adaptiveLimit
	ramp      coldRamp
	// epoch is incremented when the adaptive limit is cut and when the cold ramp
	// starts.
	epoch uint64
	// coldScore counts signs that the server has become cold without reporting
	// it, see addColdScore.
	coldScore    float64
	reportedCold [coldSourceCount]bool
	failedProbes int
	// limitCut is set when the current event lowered a limit.
	limitCut     bool
	lastActiveAt bulrushchute.Millis

	slowdown  slowdownTracker
	coldRate  coldRateLimiter
	lastSlots lastSlotsMonitor
	// namedLimit is the limit that the server names in its answers.
	namedLimit namedLimit
	slotTime   slotTimeMeter
	// serviceMs is the recent mean latency over all routes.
	serviceMs float64
	probes    probeBudget

	draining  bool
	withdrawn bool
}

// New returns a controller for a backend server that, as far as the controller
// knows, has not started yet. Its first requests therefore go through the cold
// ramp.
func New(now bulrushchute.Millis, settings Settings) *Controller {
	c := &Controller{
		now:          now,
		nextExpiry:   Never,
		nextOverdue:  Never,
		lastActiveAt: now,
		requests:     make(map[bulrushchute.AttemptID]*requestState),
		usage:        make(map[bulrushchute.Tenant]*tenantUsage),
		baselines:    newBaselineTable(),
		probes:       newProbeBudget(settings.withDefaults().ProbesPerS),
	}
	c.applySettings(settings)
	c.adaptive = newAdaptiveLimit(c.slots())
	c.ramp.start(now, c.coldSlots())
	return c
}

func (c *Controller) applySettings(settings Settings) {
	c.settings = settings.withDefaults()
	c.coldRate.perS, c.coldRate.factor = c.settings.Limits.ColdPerS, c.settings.ColdRateFactor
	c.weights = make(map[bulrushchute.Tenant]int, len(settings.Tenants))
	for _, share := range settings.Tenants {
		c.weights[share.Tenant] = share.Weight
	}
}

// advanceClock moves the controller's clock forward, never back.
func (c *Controller) advanceClock(now bulrushchute.Millis) {
	c.now = max(c.now, now)
}

// beginEvent is called first by every method that returns releases. It counts
// overdue answers and ends the waits that are over.
func (c *Controller) beginEvent(now bulrushchute.Millis) []Release {
	c.advanceClock(now)
	c.limitCut = false
	c.markOverdue()
	return c.expireQueued(nil)
}

// endEvent is called last by every method that returns releases. It dispatches
// queued requests to free slots and, if a limit was cut, sheds those that can no
// longer get a slot in time.
func (c *Controller) endEvent(releases []Release) []Release {
	releases = c.dispatchDue(c.dispatchQueued(releases))
	if c.limitCut {
		releases = c.shedExcess(releases)
	}
	c.slotTime.setBusy(c.now, len(c.running) >= c.limit())
	return releases
}

// expireQueued ends the waits that are over: it refuses requests past their
// queue timeout or deadline, and calls endHold for those whose hold time during
// a slowdown is over.
func (c *Controller) expireQueued(releases []Release) []Release {
	if c.now < c.nextExpiry {
		return releases
	}
	c.nextExpiry = Never
	slow := c.slowdown.elevated()
	var expired []*requestState
	c.queue.each(func(rs *requestState) {
		if rs.expiresAt <= c.now || (slow && rs.heldUntil <= c.now) {
			expired = append(expired, rs)
			return
		}
		c.nextExpiry = min(c.nextExpiry, rs.nextExpiry())
	})
	for _, rs := range expired {
		if rs.expiresAt <= c.now {
			releases = c.refuseQueued(rs, rs.expiryReason, releases)
			continue
		}
		releases = c.endHold(rs, releases)
	}
	return releases
}

// dispatchQueued dispatches queued requests to free slots. It needs no check of
// deadlines, since beginEvent has removed the expired requests.
func (c *Controller) dispatchQueued(releases []Release) []Release {
	for c.queue.waiting > 0 && c.canDispatch() {
		rs := c.queue.next(c.limit(), c.activeWeight)
		releases = c.admitQueued(rs, releases)
	}
	return releases
}

func (c *Controller) inFlight() int {
	return len(c.running)
}

// Done ends an admitted request and frees its slot. Unknown IDs are ignored, so
// reporting the same end twice has no effect.
func (c *Controller) Done(now bulrushchute.Millis, id bulrushchute.AttemptID, result Result) []Release {
	releases := c.beginEvent(now)
	rs, known := c.requests[id]
	if known && rs.running {
		c.namedLimit.unheard = c.namedLimit.unheard && !result.isAnswer()
		c.slotTime.recordEnd(c.now, len(c.running))
		c.recordResult(rs, result)
		c.freeSlot(rs)
		c.unregister(rs)
		c.lastActiveAt = c.now
	}
	return c.endEvent(releases)
}

// Cancel removes a queued request, which gets its own Release. An admitted
// request keeps its slot until Done, since the backend server may still be
// working on it.
func (c *Controller) Cancel(now bulrushchute.Millis, id bulrushchute.AttemptID) []Release {
	releases := c.beginEvent(now)
	rs, known := c.requests[id]
	switch {
	case !known:
	case rs.running:
		rs.cancelled = true
	default:
		releases = c.refuseQueued(rs, bulrushchute.ReasonCancelled, releases)
	}
	return c.endEvent(releases)
}

// Tick does what has become due: it counts overdue answers, ends the waits that
// are over and dispatches queued requests that the cold rate limit delayed.
func (c *Controller) Tick(now bulrushchute.Millis) []Release {
	return c.endEvent(c.beginEvent(now))
}

// NextTick returns the time of the next Tick that may have work to do, or
// Never. It may be early but not late. The owner must call Tick at that time; a
// long delay is taken for a pause of the node and not for a slow server.
func (c *Controller) NextTick() bulrushchute.Millis {
	next := min(c.nextExpiry, c.nextOverdue)
	if c.queue.waiting > 0 {
		next = min(next, c.coldRate.nextDispatch(c.now))
		if wait := c.namedLimit.waitFor(c.now, 1); wait > 0 {
			next = min(next, c.now+wait)
		}
	}
	return next
}

// rampAfterIdle starts the cold ramp if the server has been idle for at least
// ColdAfterIdle. A server that reports its load needs no ramp, see limit.
func (c *Controller) rampAfterIdle() {
	idle := len(c.running) == 0 && c.queue.waiting == 0
	if idle && !c.slowdown.reported && c.now-c.lastActiveAt >= c.settings.ColdAfterIdle {
		c.startColdRamp()
		c.lastActiveAt = c.now
	}
}

// Load returns the backend server's load, which is sent with every reply.
func (c *Controller) Load() bulrushchute.Load {
	return bulrushchute.Load{
		InFlight:  len(c.running),
		Limit:     c.limit(),
		Queued:    c.queue.waiting,
		ServiceMs: c.serviceMs,
		Cold:      c.isCold(),
		Leaving:   c.draining,
		FreeAfter: c.namedLimit.waitFor(c.now, c.queue.waiting+1),
	}
}

// QueuedByClass returns the number of queued requests in each class.
func (c *Controller) QueuedByClass() [bulrushchute.ClassCount]int {
	var waiting [bulrushchute.ClassCount]int
	for i := range c.queue.classes {
		waiting[i] = c.queue.classes[i].waiting
	}
	return waiting
}

// Empty reports whether no request is admitted or queued.
func (c *Controller) Empty() bool {
	return len(c.requests) == 0
}
