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
	// readingTimeout bounds a reading of the backend server's load. Servers that
	// report their load answer it at once.
	readingTimeout = 250 * time.Millisecond
	// heldEvery is how often the load is read while requests are held back.
	heldEvery = 20 * time.Millisecond
)

// recentRead is the age of a reading up to which the backend server need not be
// probed as well.
const recentRead = 2 * bulrushchute.Second

// recentlyRead reports whether the backend server's load is being read often.
func (g *guard) recentlyRead() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	age, slowdown := g.controller.LastSlowdown(g.clock.Now())
	return slowdown > 0 && age < recentRead
}

// refreshPace reads the backend server's load if what is known is too old to
// start a request on it. Requests that arrive meanwhile share one reading.
func (g *guard) refreshPace(ctx context.Context) {
	g.mutex.Lock()
	if !g.firstReading && !g.controller.NeedsLoadReading(g.clock.Now()) {
		g.mutex.Unlock()
		return
	}
	g.firstReading = false
	reading := g.reading
	if reading == nil && !g.controller.AllowProbe(g.clock.Now(), bulrushadmission.ProbeLoad) {
		g.mutex.Unlock()
		return
	}
	if reading == nil {
		reading = make(chan struct{})
		g.reading = reading
		g.tasks.Start(g.context, "load reading", g.readLoad)
	}
	g.mutex.Unlock()
	select {
	case <-reading:
	case <-ctx.Done():
	}
}

// readFirst reads the load of a backend server that has just announced itself.
func (g *guard) readFirst(ctx context.Context) error {
	g.refreshPace(ctx)
	return nil
}

// readLoad reads the backend server's load from its health path.
func (g *guard) readLoad(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readingTimeout)
	defer cancel()
	backend, client := g.target()
	answer, err := client.client.Do(ctx, bulrushbackend.Request{
		Method:     http.MethodGet,
		Target:     g.path(),
		Host:       string(backend.Address),
		Header:     http.Header{},
		Idempotent: true,
	})
	if err == nil {
		g.takeReport(answer.Report)
		g.takeCold(answer.Report)
	} else {
		// Requests go on without a reading, as to a server that reports nothing.
		klog.V(1).InfoS("load not read", "server", backend.Server, "error", err)
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	close(g.reading)
	g.reading = nil
	return err
}

func (g *guard) path() string {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.healthPath
}

// takeReport passes the backend server's report of its load to the controller.
func (g *guard) takeReport(report bulrushchute.BackendReport) {
	if report.Load == nil {
		return
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.release(g.controller.ObserveLoad(g.clock.Now(), *report.Load))
}

func (g *guard) takeCold(report bulrushchute.BackendReport) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.release(g.controller.ObserveCold(g.clock.Now(), report.Cold))
}

func (g *guard) wakePacer() {
	select {
	case g.held <- struct{}{}:
	default:
	}
}

// runPacer reads the load again and again while requests are held back, so
// that they start as soon as the server's machine is free.
func (g *guard) runPacer(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-g.held:
		}
		for ctx.Err() == nil && g.holds() {
			bulrushtask.Pause(ctx, heldEvery)
			g.refreshPace(ctx)
			g.tick()
		}
	}
}

func (g *guard) holds() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.controller.HasQueued()
}
