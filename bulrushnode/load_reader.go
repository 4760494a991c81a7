package bulrushnode

import (
	"context"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushadmission"
	"bulrushchute.example/bulrushchute/bulrushbackend"
	"bulrushchute.example/bulrushchute/bulrushtask"
)

const (
	// loadReadTimeout limits a reading of the backend server's load, which is a
	// request to its health path. Servers that report their load answer immediately.
	loadReadTimeout = 250 * time.Millisecond
	// loadPollInterval is the interval between readings of the load while
	// requests are queued.
	loadPollInterval = 20 * time.Millisecond
)

// recentReadAge is the age up to which a reading of the load makes a probe of
// the backend server unnecessary.
const recentReadAge = 2 * bulrushchute.Second

// loadReadRecently reports whether the last reading of the load makes a probe
// unnecessary.
func (a *admission) loadReadRecently() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	age, slowdown := a.controller.LastSlowdown(a.clock.Now())
	return slowdown > 0 && age < recentReadAge
}

// refreshLoad reads the backend server's load if the last reading is too old to
// admit a request. Concurrent requests share one reading.
func (a *admission) refreshLoad(ctx context.Context) {
	a.mutex.Lock()
	if !a.initialReadNeeded && !a.controller.NeedsLoadReading(a.clock.Now()) {
		a.mutex.Unlock()
		return
	}
	a.initialReadNeeded = false
	loadReading := a.loadReading
	if loadReading == nil && !a.controller.AllowProbe(a.clock.Now(), bulrushadmission.ProbeLoad) {
		a.mutex.Unlock()
		return
	}
	if loadReading == nil {
		loadReading = make(chan struct{})
		a.loadReading = loadReading
		a.tasks.Start(a.context, "load reading", a.readLoad)
	}
	a.mutex.Unlock()
	select {
	case <-loadReading:
	case <-ctx.Done():
	}
}

// readInitialLoad reads the load of a backend server that has just announced
// itself.
func (a *admission) readInitialLoad(ctx context.Context) error {
	a.refreshLoad(ctx)
	return nil
}

// readLoad reads the backend server's load from its health path.
func (a *admission) readLoad(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, loadReadTimeout)
	defer cancel()
	backend, client := a.currentBackend()
	answer, err := client.client.Do(ctx, bulrushbackend.Request{
		Method:     http.MethodGet,
		Target:     a.currentHealthPath(),
		Host:       string(backend.Address),
		Header:     http.Header{},
		Idempotent: true,
	})
	if err == nil {
		a.observeReport(answer.Report)
		a.observeCold(answer.Report)
		if server := answer.Report.Server; server == "" || server == backend.Server {
			a.observeNamedLimit(backend, answer.Report, false)
			a.observeLeaving(backend, answer.Report)
		}
		if answer.Status < http.StatusInternalServerError {
			a.confirm()
		} else if !answer.Report.NotRun {
			a.denyHealth(backend)
		}
	} else {
		// Requests proceed without a reading, as with a server that reports no
		// load.
		klog.V(1).InfoS("load not read", "server", backend.Server, "error", err)
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	close(a.loadReading)
	a.loadReading = nil
	return err
}

func (a *admission) currentHealthPath() string {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.healthPath
}

// observeReport passes the load in a report of the backend server to the
// controller.
func (a *admission) observeReport(report bulrushchute.BackendReport) {
	if report.Load == nil {
		return
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now := a.clock.Now()
	a.notifyWaiters(a.controller.ObserveLoad(now, *report.Load))
	if a.controller.NeedsPolling(now) {
		a.wakeLoadPoller()
	}
}

func (a *admission) observeCold(report bulrushchute.BackendReport) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.notifyWaiters(a.controller.ObserveCold(a.clock.Now(), report.Cold))
}

// observeNamedLimit passes what an answer of a backend server states about its limit
// to the controller. toRequest is set if it is not the answer to a health check.
func (a *admission) observeNamedLimit(backend Announcement, report bulrushchute.BackendReport, toRequest bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if !backend.sameProcess(a.backend) {
		return // a late answer of the previous process
	}
	if report.NamedLimitMalformed {
		klog.InfoS("limit of the backend server cannot be read", "server", backend.Server)
		return
	}
	before, namedBefore := a.controller.NamedLimit()
	a.notifyWaiters(a.controller.ObserveNamedLimit(a.clock.Now(), report.NamedLimit, toRequest))
	if after, named := a.controller.NamedLimit(); named != namedBefore || named && after != before {
		klog.InfoS("limit of the backend server changed", "server", backend.Server, "named", named, "per_s", after, "to_request", toRequest)
	}
}

func (a *admission) wakeLoadPoller() {
	select {
	case a.pollWake <- struct{}{}:
	default:
	}
}

// runLoadPoller reads the load repeatedly while requests are queued, so that
// they start as soon as a slowdown of the server's machine ends, and while the
// controller learns how long slowdowns last.
func (a *admission) runLoadPoller(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.pollWake:
		}
		for ctx.Err() == nil && a.needsPolling() {
			bulrushtask.Pause(ctx, loadPollInterval)
			a.refreshLoad(ctx)
			a.tick()
		}
	}
}

func (a *admission) needsPolling() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.controller.NeedsPolling(a.clock.Now())
}
