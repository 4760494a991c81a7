package bulrushnode

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushtask"
)

const (
	// drainNotice is the time in which callers and peers learn that the node
	// leaves. Requests that arrive within it are still served, so it is below
	// the 2 s after which a leaving backend server must get no new work.
	drainNotice = 1500 * time.Millisecond
	// keyHandover bounds the wait for another home to take over this node's keys.
	keyHandover = 5 * time.Second
	// leaveNotice is the time in which the last member record is spread.
	leaveNotice = 400 * time.Millisecond
	// drainReserve is what of the grace time is kept for the end of the process.
	drainReserve = 700 * time.Millisecond
	drainPoll    = 20 * time.Millisecond
	// answerTime is the time in which callers get the answers of requests that
	// the drain does not wait for.
	answerTime = 100 * time.Millisecond
	// quietTime is how long no request may have arrived before idle connections
	// of callers are closed. They are closed after quietLimit in any case, which
	// with drainNotice is half of a grace time of 6 s: the rest is for the answers.
	quietTime  = 500 * time.Millisecond
	quietLimit = 1500 * time.Millisecond
)

// drain ends the node without cutting a request: peers are told first, then
// everything that is in flight ends, then connections are closed.
func (n *Node) drain(callers *callerEndpoint, peers *http.Server) error {
	klog.InfoS("node draining", "instance", n.id)
	ctx, cancel := context.WithTimeout(n.context, n.settings.GraceMs.Duration()-drainReserve)
	defer cancel()
	n.control.do(ctx, func(now bulrushchute.Millis) {
		n.control.draining = true
		n.control.updateState(n.control.membership.Status())
		n.control.announce(now, n.admission, true)
		n.keys.leave(now)
	})
	bulrushtask.Pause(ctx, drainNotice)
	n.admission.drain()
	err := callers.close(ctx)
	waitUntil(ctx, n.admission.empty)
	handover, cancelHandover := context.WithTimeout(ctx, keyHandover)
	waitUntil(handover, func() bool { return !n.keys.isHome() })
	cancelHandover()
	// The last record is spread even if the drain took too long.
	n.control.do(n.context, n.control.membership.Leave)
	bulrushtask.Pause(n.context, leaveNotice)
	callers.giveUp(n.context)
	return firstError(err, n.stop(peers))
}

// callerEndpoint is the listener and the server for callers.
type callerEndpoint struct {
	listener     net.Listener
	server       *http.Server
	entryHandler *entryHandler
	// cancel ends the contexts of all requests.
	cancel context.CancelFunc
}

// close stops accepting connections, closes idle ones when no more requests
// arrive, and waits until those that have arrived are answered. The server's own
// shutdown comes last, because from its call on net/http drops requests that it
// reads on connections it has already accepted.
func (ce *callerEndpoint) close(ctx context.Context) error {
	err := errors.Wrap(ce.listener.Close(), "close the listener for callers")
	begin := time.Now()
	arrived, quietSince := ce.entryHandler.arrived.Load(), begin
	for ctx.Err() == nil {
		bulrushtask.Pause(ctx, drainPoll)
		if latest := ce.entryHandler.arrived.Load(); latest != arrived {
			arrived, quietSince = latest, time.Now()
		}
		if time.Since(quietSince) < quietTime && time.Since(begin) < quietLimit {
			continue
		}
		// Closes connections that are idle now. Others close with their next answer.
		ce.server.SetKeepAlivesEnabled(false)
		if ce.entryHandler.active.Load() == 0 {
			break
		}
	}
	return firstError(err, errors.Wrap(ce.server.Shutdown(ctx), "callers still connected"))
}

// giveUp answers the callers that still wait. Their connections would otherwise
// be cut when the process is killed after the grace time.
func (ce *callerEndpoint) giveUp(ctx context.Context) {
	ce.cancel()
	ctx, cancel := context.WithTimeout(ctx, answerTime)
	defer cancel()
	waitUntil(ctx, func() bool { return ce.entryHandler.active.Load() == 0 })
}

// stop ends all goroutines and waits for them.
func (n *Node) stop(peers *http.Server) error {
	n.runner.tasks.Wait()
	n.server.Wait()
	n.cancel()
	err := errors.Wrap(peers.Close(), "close peer connections")
	n.tasks.Wait()
	n.keys.tasks.Wait()
	n.moves.tasks.Wait()
	n.admission.tasks.Wait()
	n.client.Wait()
	klog.InfoS("node stopped", "instance", n.id)
	return err
}

func waitUntil(ctx context.Context, reached func() bool) {
	for ctx.Err() == nil && !reached() {
		bulrushtask.Pause(ctx, drainPoll)
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
