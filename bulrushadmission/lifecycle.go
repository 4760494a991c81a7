package bulrushadmission

import (
	"golang.org/x/time/rate"

	"bulrushchute.example/bulrushchute"
)

// Drain refuses new work from now on. Admitted work finishes, and queued work
// waits at most one more second for its slot.
func (c *Controller) Drain(now bulrushchute.Millis) {
	c.advance(now)
	c.draining = true
	c.hasten(bulrushchute.ReasonLeaving)
}

// Resume takes new work again after Drain, for a backend server that announces
// that it serves again.
func (c *Controller) Resume(now bulrushchute.Millis) {
	c.advance(now)
	c.draining = false
}

// Withdraw refuses new work while the data centre is withdrawn. Admitted and
// queued work finishes as with Drain.
func (c *Controller) Withdraw(now bulrushchute.Millis, withdrawn bool) {
	c.advance(now)
	if withdrawn && !c.withdrawn {
		c.hasten(bulrushchute.ReasonWithdrawn)
	}
	c.withdrawn = withdrawn
}

// hasten shortens the waits of all queued requests.
func (c *Controller) hasten(reason bulrushchute.Reason) {
	latest := c.now + leavingQueue
	c.queue.each(func(t *ticket) {
		if t.expiresAt > latest {
			t.expiresAt = latest
			t.expiry = reason
		}
		c.nextExpiry = min(c.nextExpiry, t.expiresAt)
	})
}

// SetSettings puts another version of the catalogue entry in force. Queued
// requests for which there is no room any more are refused.
func (c *Controller) SetSettings(now bulrushchute.Millis, settings Settings) []Release {
	releases := c.begin(now)
	c.use(settings)
	c.probes.bucket.SetLimitAt(c.now.Time(), rate.Limit(c.settings.ProbesPerS))
	c.reweigh()
	c.clampLimits()
	return c.finish(c.trimQueues(releases))
}

// Announce takes note of a running backend server's changed announcement.
func (c *Controller) Announce(now bulrushchute.Millis, announcement Announcement) []Release {
	releases := c.begin(now)
	c.announced = announcement
	c.clampLimits()
	c.reportCold(fromAnnouncement, announcement.Cold)
	return c.finish(releases)
}

// BackendStarted begins a new life of the backend server: the cold ramp starts
// again and what was learned of the former life is dropped. Requests of the
// former life keep their slots until Done. Drain and Withdraw stay in force.
func (c *Controller) BackendStarted(now bulrushchute.Millis, announcement Announcement) []Release {
	releases := c.begin(now)
	c.announced = announcement
	c.reportedCold = [coldSources]bool{fromAnnouncement: announcement.Cold}
	c.routes = newRouteTable()
	c.drain = drainMeter{}
	c.serviceMs = 0
	c.pace = pace{}
	c.full = fullness{}
	c.cold.until = 0
	c.failedProbes = 0
	c.adaptive = newAdaptiveLimit(c.slots())
	c.enterRamp()
	c.usedAt = c.now
	return c.finish(releases)
}

// reweigh applies changed weights to the tenants that have work here.
func (c *Controller) reweigh() {
	c.activeWeight = 0
	for tenant, a := range c.accounts {
		a.weight = c.weight(tenant)
		c.activeWeight += a.weight
	}
}

// clampLimits keeps the learned limits within changed hard limits. A raised
// hard limit is approached with good answers.
func (c *Controller) clampLimits() {
	slots := float64(c.slots())
	c.adaptive.limit = min(c.adaptive.limit, slots)
	if c.ramp.warming {
		c.ramp.limit = max(float64(c.coldSlots()), min(c.ramp.limit, slots))
	}
}

// trimQueues refuses what lowered bounds leave no room for. A class beyond its
// own bound is busy whatever the other classes hold; beyond the bound of all
// classes together, the least important work is shed first.
func (c *Controller) trimQueues(releases []Release) []Release {
	bound := c.settings.Limits.Queue
	for i := len(c.queue.classes) - 1; i >= 0; i-- {
		cq := &c.queue.classes[i]
		for cq.waiting > bound {
			releases = c.refuseQueued(cq.youngest(), bulrushchute.ReasonBusy, releases)
		}
	}
	return c.shedTo(totalQueueFactor*bound, releases)
}
