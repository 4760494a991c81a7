package bulrushusage

import (
	"maps"
	"sync"

	"bulrushchute.example/bulrushchute"
)

// Counter counts the requests of each tenant that began to run at one node. It
// keeps the last WindowsKept windows. It is safe for concurrent use.
type Counter struct {
	length bulrushchute.Millis

	mutex   sync.Mutex
	windows map[Window]*countedWindow
	newest  Window
	// forgotten is the last window that Forget has dropped.
	forgotten Window
}

type countedWindow struct {
	counts Counts
	// changes is the number of calls that changed counts.
	changes uint64
}

// NewCounter returns a counter without counts.
func NewCounter(settings Settings) *Counter {
	return &Counter{length: settings.WindowMs, windows: make(map[Window]*countedWindow)}
}

// Began counts a request that is dispatched to the backend server. It returns the
// window in which the request is counted, for Withdraw. This is the window that
// contains the given instant, or the next one that is not forgotten, so that the
// sum over all windows stays correct if this node's clock is slow.
func (c *Counter) Began(at bulrushchute.Millis, tenant bulrushchute.Tenant) Window {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	window := max(bulrushchute.UsageWindowOf(at, c.length), c.forgotten+1, c.oldest())
	counted, exists := c.windows[window]
	if !exists {
		counted = &countedWindow{counts: make(Counts)}
		c.windows[window] = counted
		c.newest = max(c.newest, window)
		c.dropBefore(c.oldest())
	}
	counted.counts[tenant]++
	counted.changes++
	return window
}

// Withdraw takes back one request that Began has counted in the window. It has no
// effect if the window is no longer kept.
func (c *Counter) Withdraw(window Window, tenant bulrushchute.Tenant) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	counted, exists := c.windows[window]
	if !exists || counted.counts[tenant] == 0 {
		return
	}
	counted.counts[tenant]--
	if counted.counts[tenant] == 0 {
		delete(counted.counts, tenant)
	}
	counted.changes++
}

// Counts returns a copy of the counts of a window. It is empty if nothing is
// counted in the window or if the window is no longer kept.
func (c *Counter) Counts(window Window) Counts {
	counts, _ := c.snapshot(window)
	return counts
}

// Forget drops the windows up to and including the given one.
func (c *Counter) Forget(through Window) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if through > c.forgotten {
		c.forgotten = through
		c.dropBefore(through + 1)
	}
}

// snapshot returns a copy of the counts of a window, and the number of changes
// that they include.
func (c *Counter) snapshot(window Window) (Counts, uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	counted, exists := c.windows[window]
	if !exists {
		return Counts{}, 0
	}
	return maps.Clone(counted.counts), counted.changes
}

// changes returns the number of changes in a window.
func (c *Counter) changes(window Window) uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if counted, exists := c.windows[window]; exists {
		return counted.changes
	}
	return 0
}

// oldest returns the first window in the kept range.
func (c *Counter) oldest() Window {
	return oldestKept(c.newest)
}

func (c *Counter) dropBefore(first Window) {
	for window := range c.windows {
		if window < first {
			delete(c.windows, window)
		}
	}
}

// oldestKept returns the first of the WindowsKept windows that end with the newest.
func oldestKept(newest Window) Window {
	if newest < WindowsKept {
		return 0
	}
	return newest - WindowsKept + 1
}
