package bulrushnode

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushcaller"
	"bulrushchute.example/bulrushchute/bulrushtask"
)

const (
	// drainPropagationTime is the time in which callers and peers learn that the
	// node is leaving. Requests that arrive in this time are still served, so it is
	// shorter than the 2 s after which a leaving backend server must not receive new
	// work.
	drainPropagationTime = 1500 * time.Millisecond
	// keyHandoverTimeout limits the wait for other homes to take over this node's
	// keys.
	keyHandoverTimeout = 5 * time.Second
	// leavePropagationTime is the time allowed for spreading the last member record.
	leavePropagationTime = 400 * time.Millisecond
	// shutdownReserve is the part of the grace time that is reserved for the steps
	// after the drain.
	shutdownReserve   = 700 * time.Millisecond
	drainPollInterval = 20 * time.Millisecond
	// finalResponseTimeout is the time allowed for the responses to requests that
	// are cancelled at the end of the drain.
	finalResponseTimeout = 100 * time.Millisecond
	// idleCloseDelay is the time without a new request after which idle connections
	// of callers are closed. They are closed after maxIdleCloseDelay at the latest.
	// drainPropagationTime and maxIdleCloseDelay together are half of a grace time
	// of 6 s, which leaves the other half for the responses.
	idleCloseDelay    = 500 * time.Millisecond
	maxIdleCloseDelay = 1500 * time.Millisecond
)

// drainEnd is when the drain of a node ends. It is safe for concurrent use.
type drainEnd struct {
	// at is 0 until the drain begins.
	at atomic.Int64
	// closing is set once the connections of callers are being closed.
	closing atomic.Bool
}

// left returns the time until the end of the drain, and false if the node does not drain.
func (de *drainEnd) left(now bulrushchute.Millis) (bulrushchute.Millis, bool) {
	at := bulrushchute.Millis(de.at.Load())
	return at - now, at > 0
}

// lateRequest is what a node that drains knows of a request that is about to be passed on.
type lateRequest struct {
	// left is the time until the end of the drain, and timeout that until the deadline of
	// the request.
	left, timeout bulrushchute.Millis
	// closing is set once the connections of callers are being closed.
	closing bool
	// expected is how long the requests of the service take, if it is known.
	expected      bulrushchute.Millis
	expectedKnown bool
}

// passesOn decides whether the request is passed on or refused as not run. The end of the
// drain cuts what a backend server still works on. Load pattern: callers go on sending on
// open connections until these are closed, and a request whose body is slow is complete
// only after that. Until the close, requests of unknown length are served as usual; after
// it, only those that end in time for certain.
func (lr lateRequest) passesOn() bool {
	switch {
	case lr.timeout <= lr.left:
		return true
	case lr.closing:
		return false
	default:
		return !lr.expectedKnown || lr.expected <= lr.left
	}
}

// drain shuts the node down without interrupting requests. It first informs the
// peers, then waits for the requests in progress, and then closes the connections.
func (n *Node) drain(callers *callerEndpoint, peerServer *http.Server) error {
	klog.InfoS("node draining", "instance", n.id)
	span := n.settings.GraceMs.Duration() - shutdownReserve
	n.entryHandler.drain.at.Store(int64(n.clock.Now() + bulrushchute.MillisOf(span)))
	ctx, cancel := context.WithTimeout(n.context, span)
	defer cancel()
	n.control.do(ctx, func(now bulrushchute.Millis) {
		n.control.draining = true
		n.control.updateState(n.control.membership.Status())
		n.control.updateSelf(now, n.admission, true)
		n.keys.leave(now)
	})
	bulrushtask.Pause(ctx, drainPropagationTime)
	n.admission.drain()
	// Callers that stay connected must not take the time for the counts, which are of
	// the requests of this node's backend server.
	handedOver := make(chan struct{})
	n.tasks.Start(ctx, "usage hand-over", func(ctx context.Context) error {
		defer close(handedOver)
		waitUntil(ctx, n.admission.empty)
		n.usage.handOver(ctx)
		return nil
	})
	err := callers.close(ctx)
	waitUntil(ctx, n.admission.empty)
	handover, cancelHandover := context.WithTimeout(ctx, keyHandoverTimeout)
	waitUntil(handover, func() bool { return !n.keys.isHome() })
	cancelHandover()
	<-handedOver
	// Uses n.context, because the last record must be spread even if the drain timed
	// out.
	n.control.do(n.context, n.control.membership.Leave)
	bulrushtask.Pause(n.context, leavePropagationTime)
	callers.cancelRequests(n.context)
	return firstError(err, n.stop(peerServer))
}

// callerEndpoint is the listener and the server for callers.
type callerEndpoint struct {
	listener     net.Listener
	server       *bulrushcaller.Server
	entryHandler *entryHandler
	// cancel cancels the contexts of all requests.
	cancel context.CancelFunc
}

// close stops accepting connections, closes idle ones once no more requests
// arrive, and waits until all received requests have ended.
func (ce *callerEndpoint) close(ctx context.Context) error {
	err := errors.Wrap(ce.listener.Close(), "close the listener for callers")
	start := time.Now()
	arrived, lastArrivalAt := ce.entryHandler.arrived.Load(), start
	for ctx.Err() == nil {
		bulrushtask.Pause(ctx, drainPollInterval)
		if latest := ce.entryHandler.arrived.Load(); latest != arrived {
			arrived, lastArrivalAt = latest, time.Now()
		}
		if time.Since(lastArrivalAt) < idleCloseDelay && time.Since(start) < maxIdleCloseDelay {
			continue
		}
		ce.entryHandler.drain.closing.Store(true)
		ce.server.CloseIdle()
		if ce.entryHandler.active.Load() == 0 {
			break
		}
	}
	return firstError(err, errors.Wrap(ce.server.Shutdown(ctx), "callers still connected"))
}

// cancelRequests cancels the remaining requests, so that their callers get a
// response, and closes the connections. Otherwise these would be cut when the
// process is killed after the grace time.
func (ce *callerEndpoint) cancelRequests(ctx context.Context) {
	ce.cancel()
	ctx, cancel := context.WithTimeout(ctx, finalResponseTimeout)
	defer cancel()
	if err := ce.server.Shutdown(ctx); err != nil {
		klog.V(1).InfoS("callers still connected at the end of the drain", "error", err)
	}
	ce.server.Close()
}

// stop stops all goroutines and waits for their end.
func (n *Node) stop(peerServer *http.Server) error {
	n.runner.tasks.Wait()
	n.server.Wait()
	n.cancel()
	err := errors.Wrap(peerServer.Close(), "close peer connections")
	n.tasks.Wait()
	n.keys.tasks.Wait()
	n.moves.tasks.Wait()
	n.admission.tasks.Wait()
	n.client.Wait()
	klog.InfoS("node stopped", "instance", n.id)
	return err
}

func waitUntil(ctx context.Context, condition func() bool) {
	for ctx.Err() == nil && !condition() {
		bulrushtask.Pause(ctx, drainPollInterval)
	}
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
