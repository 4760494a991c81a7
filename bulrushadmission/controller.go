package bulrushadmission

import (
	"bulrushchute.example/bulrushchute"
)

// Never is returned by NextTick when nothing is due.
const Never = bulrushchute.Millis(1<<63 - 1)

// leavingQueue bounds the wait of queued work once new work is refused, so
// that the server receives nothing long after it started leaving.
const leavingQueue = bulrushchute.Second

// Controller is the admission state machine of one backend server.
type Controller struct {
	settings  Settings
	weights   map[bulrushchute.Tenant]int
	announced Announcement

	// now never goes back, even if the caller's clock does.
	now         bulrushchute.Millis
	nextExpiry  bulrushchute.Millis
	nextOverdue bulrushchute.Millis

	tickets map[bulrushchute.AttemptID]*ticket
	running []*ticket
	queue   waitQueue
	spare   []*ticket

	accounts     map[bulrushchute.Tenant]*account
	activeWeight int
	// spareAccount saves an allocation when a tenant's only request ends.
	spareAccount *account

	routes       routeTable
	adaptive     adaptiveLimit
	ramp         coldRamp
	epoch        uint64
	coldEvidence float64
	reportedCold [coldSources]bool
	failedProbes int
	// limitCut is set when this event cut a limit.
	limitCut bool
	usedAt   bulrushchute.Millis

	pace      pace
	cold      coldWindow
	full      fullness
	drain     drainMeter
	serviceMs float64
	probes    probeBudget

	draining  bool
	withdrawn bool
}

// New returns a controller for a backend server that has not started yet as
// far as it knows, so its first requests go through the cold ramp.
func New(now bulrushchute.Millis, settings Settings) *Controller {
	c := &Controller{
		now:         now,
		nextExpiry:  Never,
		nextOverdue: Never,
		usedAt:      now,
		tickets:     make(map[bulrushchute.AttemptID]*ticket),
		accounts:    make(map[bulrushchute.Tenant]*account),
		routes:      newRouteTable(),
		probes:      newProbeBudget(settings.withDefaults().ProbesPerS),
	}
	c.use(settings)
	c.adaptive = newAdaptiveLimit(c.slots())
	c.ramp.enter(now, c.coldSlots())
	return c
}

func (c *Controller) use(settings Settings) {
	c.settings = settings.withDefaults()
	c.cold.perS = c.settings.Limits.ColdPerS
	c.weights = make(map[bulrushchute.Tenant]int, len(settings.Tenants))
	for _, share := range settings.Tenants {
		c.weights[share.Tenant] = share.Weight
	}
}

// advance moves the controller's time.
func (c *Controller) advance(now bulrushchute.Millis) {
	c.now = max(c.now, now)
}

// begin starts every event: waits that are over end first.
func (c *Controller) begin(now bulrushchute.Millis) []Release {
	c.advance(now)
	c.limitCut = false
	c.noteOverdue()
	return c.expire(nil)
}

// finish ends every event: work moves into free slots, and what a cut leaves
// no time for is refused.
func (c *Controller) finish(releases []Release) []Release {
	releases = c.fill(releases)
	if c.limitCut {
		releases = c.shedExcess(releases)
	}
	c.drain.setBusy(c.now, len(c.running) >= c.limit())
	return releases
}

// expire refuses the queued requests whose wait is over.
func (c *Controller) expire(releases []Release) []Release {
	if c.now < c.nextExpiry {
		return releases
	}
	c.nextExpiry = Never
	slow := c.pace.slow(c.now)
	var over []*ticket
	c.queue.each(func(t *ticket) {
		if t.expiresAt <= c.now || (slow && t.heldUntil <= c.now) {
			over = append(over, t)
			return
		}
		c.nextExpiry = min(c.nextExpiry, t.nextExpiry())
	})
	for _, t := range over {
		if t.expiresAt <= c.now {
			releases = c.refuseQueued(t, t.expiry, releases)
			continue
		}
		releases = c.endHold(t, releases)
	}
	return releases
}

// fill moves queued work into free slots. Expired work is gone by then, so the
// deadline of each request has just been checked.
func (c *Controller) fill(releases []Release) []Release {
	for c.queue.waiting > 0 && c.room() {
		t := c.queue.next(c.limit(), c.activeWeight)
		releases = c.admitQueued(t, releases)
	}
	return releases
}

func (c *Controller) inFlight() int {
	return len(c.running)
}

// Done ends an admitted request and frees its slot. Unknown ids are ignored,
// so a second report of the same end has no effect.
func (c *Controller) Done(now bulrushchute.Millis, id bulrushchute.AttemptID, result Result) []Release {
	releases := c.begin(now)
	t, known := c.tickets[id]
	if known && t.running {
		c.drain.ended(c.now, len(c.running))
		c.learn(t, result)
		c.undispatch(t)
		c.forget(t)
		c.usedAt = c.now
	}
	return c.finish(releases)
}

// Cancel ends a queued request with a release of its own. A request that
// already holds a slot keeps it until Done, since the backend server may still
// be working on it.
func (c *Controller) Cancel(now bulrushchute.Millis, id bulrushchute.AttemptID) []Release {
	releases := c.begin(now)
	t, known := c.tickets[id]
	switch {
	case !known:
	case t.running:
		t.cancelled = true
	default:
		releases = c.refuseQueued(t, bulrushchute.ReasonCancelled, releases)
	}
	return c.finish(releases)
}

// Tick ends the waits that are over and takes note of overdue answers.
func (c *Controller) Tick(now bulrushchute.Millis) []Release {
	return c.finish(c.begin(now))
}

// NextTick returns the time of the next Tick that may have anything to do, or
// Never. It may be early, but not late. The owner calls Tick at that time; a
// long delay is taken as a pause of the node and not as a slow server.
func (c *Controller) NextTick() bulrushchute.Millis {
	next := min(c.nextExpiry, c.nextOverdue)
	if c.queue.waiting > 0 {
		next = min(next, c.cold.next(c.now))
	}
	return next
}

// noteIdle starts the cold ramp when the server had no work for a long time.
func (c *Controller) noteIdle() {
	idle := len(c.running) == 0 && c.queue.waiting == 0
	if idle && !c.pace.known && c.now-c.usedAt >= c.settings.IdleCold {
		c.enterRamp()
		c.usedAt = c.now
	}
}

// Load returns the backend server's load as sent with every answer.
func (c *Controller) Load() bulrushchute.Load {
	return bulrushchute.Load{
		InFlight:  len(c.running),
		Limit:     c.limit(),
		Queued:    c.queue.waiting,
		ServiceMs: c.serviceMs,
		Cold:      c.warming(),
		Leaving:   c.draining,
	}
}

// Waiting returns the number of queued requests in each class.
func (c *Controller) Waiting() [bulrushchute.ClassCount]int {
	var waiting [bulrushchute.ClassCount]int
	for i := range c.queue.classes {
		waiting[i] = c.queue.classes[i].waiting
	}
	return waiting
}

// Empty reports whether no request is admitted or queued.
func (c *Controller) Empty() bool {
	return len(c.tickets) == 0
}
