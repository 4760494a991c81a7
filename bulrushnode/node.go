package bulrushnode

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/hex"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushboard"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
	"bulrushchute.example/bulrushchute/bulrushmetric"
	"bulrushchute.example/bulrushchute/bulrushsocket"
	"bulrushchute.example/bulrushchute/bulrushtask"
	"bulrushchute.example/bulrushchute/bulrushwire"
)

const (
	// readHeaderTimeout ends connections that never send a request.
	readHeaderTimeout = 10 * time.Second
	// announceEvery is how often the node compares its own record with the
	// state of its backend server.
	announceEvery = 100 * time.Millisecond
	// coldChangeEvery bounds how often a mere change between cold and ready is
	// spread, because entry nodes learn it from answers anyway.
	coldChangeEvery = 2 * bulrushchute.Second
	// maxTenants bounds the histograms of a service.
	maxTenants = 64
)

// Node is one process of the load balancer.
type Node struct {
	settings Settings
	// tls is built from the settings; tlsError is why it could not be.
	tls          tlsConfigs
	tlsError     error
	clock        bulrushchute.Clock
	id           bulrushchute.InstanceID
	self         bulrushchute.Instance
	store        bulrushchute.Store
	board        *bulrushboard.Board
	client       *bulrushwire.Client
	server       *bulrushwire.Server
	admission    *admission
	runner       *runner
	keys         *keys
	moves        *moves
	control      *control
	entryHandler *entryHandler
	recorder     *bulrushmetric.Recorder
	tasks        *bulrushtask.Group
	// kinds are the kinds of objects that readers follow in the store.
	kinds []bulrushchute.Kind
	// context ends when everything has stopped, after the drain.
	context context.Context
	cancel  context.CancelFunc
}

// Options replace parts of a node. Fields that are nil keep the node's own.
type Options struct {
	// Kinds are the kinds of objects that hold the catalogue in the store.
	Kinds   []bulrushchute.Kind
	Callers bulrushchute.CallerProtocol
	Backend bulrushchute.BackendProtocol
}

func (o Options) protocols() protocols {
	chosen := protocols{callers: o.Callers, backend: o.Backend}
	if chosen.callers == nil {
		chosen.callers = nativeProtocol{}
	}
	if chosen.backend == nil {
		chosen.backend = nativeProtocol{}
	}
	return chosen
}

// New returns a node that uses the given store and clock. Run starts it, and
// reports settings that ParseSettings would have refused.
func New(settings Settings, store bulrushchute.Store, clock bulrushchute.Clock) *Node {
	return NewWith(settings, store, clock, Options{})
}

// NewWith is New with some parts replaced.
func NewWith(settings Settings, store bulrushchute.Store, clock bulrushchute.Clock, options Options) *Node {
	protocols := options.protocols()
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		settings: settings,
		clock:    clock,
		id:       newInstanceID(settings.PeerAddress),
		store:    store,
		board:    &bulrushboard.Board{},
		recorder: bulrushmetric.NewRecorder(maxTenants),
		tasks:    bulrushtask.NewGroup(logEnd),
		context:  ctx,
		cancel:   cancel,
	}
	n.kinds = options.Kinds
	if n.kinds == nil {
		n.kinds = defaultKinds
	}
	n.self = bulrushchute.Instance{
		ID:         n.id,
		Address:    settings.PeerAddress,
		DataCentre: settings.DataCentre,
		StartedAt:  clock.Now(),
	}
	n.tls, n.tlsError = settings.parseTLS()
	n.client = bulrushwire.NewClient(ctx, settings.PeerAddress, n.tls.peerClient)
	n.client.OnRejected = newConnRefusalLog(clock, "").log
	n.server = bulrushwire.NewServer(ctx, n)
	n.server.OnRejected = newConnRefusalLog(clock, "peers").log
	n.admission = newAdmission(ctx, clock, settings.ClockSkewMs, protocols)
	n.runner = &runner{
		clock:         clock,
		board:         n.board,
		serviceStates: newServiceStates(n.self, settings, clock),
		exchange:      n.exchange,
		tasks:         bulrushtask.NewGroup(nil),
	}
	n.keys = newKeys(n, n.id)
	n.moves = newMoves(n)
	n.admission.observe = n.moves.observeDispatch
	n.runner.observe = n.moves.observeAttempt
	n.control = newControl(n, n.self)
	n.keys.control = n.control
	n.moves.control = n.control
	n.entryHandler = &entryHandler{
		clock:             clock,
		board:             n.board,
		runner:            n.runner,
		keys:              n.keys,
		recorder:          n.recorder,
		protocol:          protocols.callers,
		waitEstimator:     newWaitEstimator(),
		serveIsolated:     settings.ServeIsolated,
		targetSelector:    newTargetSelector(newRandom(string(n.id), "targets")),
		ownService:        n.ownService,
		trustTenantHeader: settings.TrustTenantHeader && n.tls.caller == nil,
	}
	return n
}

func logEnd(end bulrushtask.Result) {
	if end.Err != nil && !errors.Is(end.Err, context.Canceled) {
		klog.ErrorS(end.Err, "task ended", "task", end.Name)
	}
}

// ownService returns the service of the backend server beside this node.
func (n *Node) ownService() bulrushchute.Service {
	if announced := n.admission.latestAnnouncement().Service; announced != "" {
		return announced
	}
	return n.settings.Service
}

// newInstanceID returns an identity that is never used again: the address
// makes it readable, the random part unique.
func newInstanceID(address bulrushchute.Address) bulrushchute.InstanceID {
	var random [6]byte
	_, _ = rand.Read(random[:])
	return bulrushchute.InstanceID(string(address) + "/" + hex.EncodeToString(random[:]))
}

// HandleAttempt implements bulrushwire.Handler.
func (n *Node) HandleAttempt(ctx context.Context, attempt bulrushchute.Attempt) bulrushchute.Reply {
	if attempt.Target != n.id {
		// The address was taken over by this process after the sender learned it.
		reply := refusalReply(bulrushchute.ReasonWrongService, retryAfterDefault)
		reply.Load = n.admission.load()
		return reply
	}
	if attempt.Key != "" {
		reply := n.keys.serve(ctx, attempt)
		reply.Load = n.admission.load()
		return reply
	}
	return n.admission.serve(ctx, attempt)
}

// HandleControl implements bulrushwire.Handler.
func (n *Node) HandleControl(from bulrushchute.Address, message bulrushchute.Control) {
	n.control.receive(from, message)
}

// exchange sends an attempt to an instance, without the network if it is this one.
func (n *Node) exchange(ctx context.Context, instance bulrushchute.Instance, attempt bulrushchute.Attempt) (bulrushchute.Reply, error) {
	if instance.ID == n.id {
		return n.HandleAttempt(ctx, attempt), nil
	}
	return n.client.Exchange(ctx, instance.Address, attempt)
}

// ExpiredError reports a node that was paused for so long that it has to start
// again under a new identity.
type ExpiredError struct {
	Instance bulrushchute.InstanceID
}

// Error implements error.
func (e *ExpiredError) Error() string {
	return "instance " + string(e.Instance) + " was paused too long and must be started again"
}

// Run serves until the context ends, then drains and returns. It returns an
// *ExpiredError if the process has to be started again.
func (n *Node) Run(ctx context.Context) error {
	if n.tlsError != nil {
		return n.tlsError
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	n.control.expire = func() { cancel(&ExpiredError{Instance: n.id}) }
	callers, peers, err := n.listen(ctx)
	if err != nil {
		return err
	}
	klog.InfoS("node started", "instance", n.id, "data_centre", n.settings.DataCentre,
		"caller_address", n.settings.CallerAddress, "peer_address", n.settings.PeerAddress)
	requests, cancelRequests := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelRequests()
	callerServer := n.newHTTPServer("callers", n.entryHandler)
	callerServer.BaseContext = func(net.Listener) context.Context { return requests }
	peerMux := http.NewServeMux()
	peerMux.Handle(bulrushwire.PeerPath, n.server)
	peerServer := n.newHTTPServer("peers", peerMux)
	n.start("callers", func(context.Context) error { return ignoreClosed(callerServer.Serve(callers)) })
	n.start("peers", func(context.Context) error { return ignoreClosed(peerServer.Serve(peers)) })
	n.start("control", n.control.run)
	n.start("announcer", n.announceSelf)
	n.start("prober", newProber(n.admission, n.probeSettings).run)
	n.start("pacer", n.admission.runLoadPoller)
	n.start("bootstrap", n.bootstrap)
	readers, stopReaders := context.WithCancel(n.context)
	n.tasks.Start(readers, "reader", (&reader{node: n, kinds: n.kinds}).run)
	n.tasks.Start(readers, "move leases", n.moves.runLeases)
	<-ctx.Done()
	stopReaders()
	err = n.drain(&callerEndpoint{listener: callers, server: callerServer, entryHandler: n.entryHandler, cancel: cancelRequests}, peerServer)
	var expired *ExpiredError
	if errors.As(context.Cause(ctx), &expired) {
		return expired
	}
	return err
}

func (n *Node) start(name string, run func(context.Context) error) {
	n.tasks.Start(n.context, name, run)
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

func (n *Node) newHTTPServer(listener string, handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		ErrorLog:          newConnRefusalLog(n.clock, listener).logger(),
	}
}

func (n *Node) listen(ctx context.Context) (net.Listener, net.Listener, error) {
	listening := bulrushsocket.NewListenConfig()
	callers, err := listening.Listen(ctx, "tcp", string(n.settings.CallerAddress))
	if err != nil {
		return nil, nil, errors.Wrap(err, "listen for callers")
	}
	peers, err := listening.Listen(ctx, "tcp", string(n.settings.PeerAddress))
	if err != nil {
		_ = callers.Close()
		return nil, nil, errors.Wrap(err, "listen for peers")
	}
	return secured(callers, n.tls.caller), secured(peers, n.tls.peerServer), nil
}

// secured puts TLS on a listener if it is configured.
func secured(listener net.Listener, config *tls.Config) net.Listener {
	if config == nil {
		return listener
	}
	return tls.NewListener(listener, config)
}

// Announce takes the announcement of the backend server beside this node.
func (n *Node) Announce(announcement Announcement) error {
	if err := announcement.checkHost(n.settings.BackendAddress); err != nil {
		return err
	}
	if announcement == n.admission.latestAnnouncement() {
		return nil
	}
	n.admission.announce(announcement)
	if entry, exists := n.board.Read().Catalogue.Service(announcement.Service); exists {
		n.admission.configure(entry)
	}
	// Until the load is known, a new server gets one request at a time.
	n.start("first load reading", n.admission.readInitialLoad)
	klog.InfoS("backend server announced", "service", announcement.Service, "version", announcement.Version,
		"address", announcement.Address, "state", announcement.State)
	return nil
}

// announceSelf keeps the node's own member record equal to the state of its
// backend server.
func (n *Node) announceSelf(ctx context.Context) error {
	ticker := time.NewTicker(announceEvery)
	defer ticker.Stop()
	var coldChangedAt bulrushchute.Millis
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		n.control.do(ctx, func(now bulrushchute.Millis) {
			if n.control.announce(now, n.admission, now-coldChangedAt >= coldChangeEvery) {
				coldChangedAt = now
			}
		})
	}
}

// announce publishes the node's own record if it has changed. It returns true
// if only the state between cold and ready did.
func (c *control) announce(now bulrushchute.Millis, admission *admission, coldChanges bool) bool {
	backend, state := admission.state()
	if c.draining {
		state = bulrushchute.StateLeaving
	}
	current := c.membership.Self()
	wanted := current.WithBackendServer(backend.Service, backend.Version, backend.Slots).
		WithStartedAt(backend.StartedAtMs).
		WithState(state)
	if wanted == current {
		return false
	}
	onlyCold := current.WithState(state) == wanted && current.State.TakesWork() && state.TakesWork()
	if onlyCold && !coldChanges {
		return false
	}
	c.membership.Update(now, wanted)
	if backend.Service != "" {
		c.keys.join(now, backend.Service)
	}
	return onlyCold
}

func (n *Node) probeSettings(service bulrushchute.Service) bulrushcatalogue.Probe {
	entry, _ := n.board.Read().Catalogue.Service(service)
	return entry.WithDefaults().Probe
}
