package bulrushadmission

import (
	"golang.org/x/time/rate"

	"bulrushchute.example/bulrushchute"
)

// Drain refuses new requests from now on. Admitted requests run to completion,
// and queued ones wait at most one more second for a slot.
func (c *Controller) Drain(now bulrushchute.Millis) {
	c.advanceClock(now)
	c.draining = true
	c.shortenWaits(bulrushchute.ReasonLeaving)
}

// Resume accepts new requests again after Drain, for a backend server that
// announces that it serves again.
func (c *Controller) Resume(now bulrushchute.Millis) {
	c.advanceClock(now)
	c.draining = false
}

// SetWithdrawn refuses new requests while the data centre is withdrawn.
// Admitted and queued requests end as with Drain.
func (c *Controller) SetWithdrawn(now bulrushchute.Millis, withdrawn bool) {
	c.advanceClock(now)
	if withdrawn && !c.withdrawn {
		c.shortenWaits(bulrushchute.ReasonWithdrawn)
	}
	c.withdrawn = withdrawn
}

// shortenWaits limits the remaining wait of all queued requests to
// drainQueueTimeout. Those that it cuts short expire with the given reason.
func (c *Controller) shortenWaits(reason bulrushchute.Reason) {
	latest := c.now + drainQueueTimeout
	c.queue.each(func(rs *requestState) {
		if rs.expiresAt > latest {
			rs.expiresAt = latest
			rs.expiryReason = reason
		}
		c.nextExpiry = min(c.nextExpiry, rs.expiresAt)
	})
}

// SetSettings applies a new version of the catalogue entry. Queued requests
// that exceed the new limits are refused.
func (c *Controller) SetSettings(now bulrushchute.Millis, settings Settings) []Release {
	releases := c.beginEvent(now)
	c.applySettings(settings)
	c.probes.limiter.SetLimitAt(c.now.Time(), rate.Limit(c.settings.ProbesPerS))
	c.updateWeights()
	c.clampLimits()
	return c.endEvent(c.trimQueues(releases))
}

// UpdateAnnouncement records a changed announcement of a running backend
// server.
func (c *Controller) UpdateAnnouncement(now bulrushchute.Millis, announcement Announcement) []Release {
	releases := c.beginEvent(now)
	c.announced = announcement
	c.clampLimits()
	c.recordColdReport(coldFromAnnouncement, announcement.Cold)
	return c.endEvent(releases)
}

// BackendStarted records that a new backend server process has started: the
// cold ramp starts again and what was learned from the previous process is
// dropped. Requests sent to the previous process keep their slots until Done.
// Drain and SetWithdrawn stay in force.
func (c *Controller) BackendStarted(now bulrushchute.Millis, announcement Announcement) []Release {
	releases := c.beginEvent(now)
	c.announced = announcement
	c.reportedCold = [coldSourceCount]bool{coldFromAnnouncement: announcement.Cold}
	c.baselines = newBaselineTable()
	c.slotTime = slotTimeMeter{}
	c.serviceMs = 0
	c.slowdown = slowdownTracker{}
	c.lastSlots = lastSlotsMonitor{}
	c.coldRate.until = 0
	c.namedLimit = namedLimit{unheard: announcement.StartedBefore}
	if announcement.StartedBefore {
		c.coldRate.assumeFormerDispatches(c.now)
	}
	c.failedProbes = 0
	c.adaptive = newAdaptiveLimit(c.slots())
	c.startColdRamp()
	c.lastActiveAt = c.now
	return c.endEvent(releases)
}

// updateWeights applies changed weights to the tenants with unfinished
// requests.
func (c *Controller) updateWeights() {
	c.activeWeight = 0
	for tenant, tu := range c.usage {
		tu.weight = c.weight(tenant)
		c.activeWeight += tu.weight
	}
}

// clampLimits keeps the learned limits within changed hard limits. After a hard
// limit was raised, good answers raise the learned limit towards it.
func (c *Controller) clampLimits() {
	slots := float64(c.slots())
	c.adaptive.limit = min(c.adaptive.limit, slots)
	if c.ramp.warming {
		c.ramp.limit = max(float64(c.coldSlots()), min(c.ramp.limit, slots))
	}
}

// trimQueues refuses queued requests that exceed lowered bounds. Requests
// beyond a class's own bound are refused as busy, whatever the other classes
// hold; beyond the bound of all classes together, the least important ones are
// shed first.
func (c *Controller) trimQueues(releases []Release) []Release {
	bound := c.settings.Limits.Queue
	for i := len(c.queue.classes) - 1; i >= 0; i-- {
		cq := &c.queue.classes[i]
		for cq.waiting > bound {
			releases = c.refuseQueued(cq.evictionCandidate(), bulrushchute.ReasonBusy, releases)
		}
	}
	return c.shedTo(totalQueueFactor*bound, releases)
}
