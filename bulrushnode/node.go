package bulrushnode

import (
	"cmp"
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
	"bulrushchute.example/bulrushchute/bulrushcaller"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
	"bulrushchute.example/bulrushchute/bulrushmemory"
	"bulrushchute.example/bulrushchute/bulrushmetric"
	"bulrushchute.example/bulrushchute/bulrushsocket"
	"bulrushchute.example/bulrushchute/bulrushtask"
	"bulrushchute.example/bulrushchute/bulrushwire"
)

const (
	// readHeaderTimeout is the time after which a connection that has not sent a
	// request header is closed.
	readHeaderTimeout = 10 * time.Second
	// maxControlHeaderBytes limits the headers of requests of peers.
	maxControlHeaderBytes = 16 << 10
	// selfUpdateInterval is how often the node brings its own member record up to
	// date with the state of its backend server.
	selfUpdateInterval = 100 * time.Millisecond
	// coldChangeInterval is the minimum interval between updates that only change
	// the state between cold and ready. More are unnecessary, because entry nodes
	// also learn this state from replies.
	coldChangeInterval = 2 * bulrushchute.Second
	// maxTenants limits the tenants of a service that have histograms of their
	// own.
	maxTenants = 64
)

// Node is one process of the load balancer.
type Node struct {
	settings Settings
	// tls is parsed from the settings. tlsError is set if that failed.
	tls      tlsConfigs
	tlsError error
	clock    bulrushchute.Clock
	id       bulrushchute.InstanceID
	// self is the node's own member record as of the start. The membership holds
	// the current one.
	self         bulrushchute.Instance
	store        bulrushchute.Store
	board        *bulrushboard.Board
	client       *bulrushwire.Client
	server       *bulrushwire.Server
	heldUp       heldUpCounts
	admission    *admission
	quarantine   *quarantine
	runner       *runner
	keys         *keys
	moves        *moves
	control      *control
	usage        *usage
	entryHandler *entryHandler
	recorder     *bulrushmetric.Recorder
	tasks        *bulrushtask.Group
	// usageStatus returns the status of usage reports with all tenants. It is nil if
	// the node does not take part in them, and is called concurrently.
	usageStatus func() UsageStatus
	// kinds are the kinds of objects that readers watch in the store.
	kinds []bulrushchute.Kind
	// context is cancelled at the end of the drain. The tasks of the node run
	// until then.
	context context.Context
	cancel  context.CancelFunc
}

// Options replace parts of a node. A nil field selects the default.
type Options struct {
	// Kinds are the kinds of objects that readers watch in the store.
	Kinds   []bulrushchute.Kind
	Callers bulrushchute.CallerProtocol
	Backend bulrushchute.BackendProtocol
	// Usage turns on usage reports.
	Usage *UsageOptions
}

func (o Options) protocols() protocols {
	result := protocols{callers: o.Callers, backend: o.Backend}
	if result.callers == nil {
		result.callers = nativeProtocol{}
	}
	if result.backend == nil {
		result.backend = nativeProtocol{}
	}
	return result
}

// New returns a node that uses the given store and clock. Run starts it. If
// ParseSettings was not used and the TLS settings are invalid, Run returns the
// error.
func New(settings Settings, store bulrushchute.Store, clock bulrushchute.Clock) *Node {
	return NewWithOptions(settings, store, clock, Options{})
}

// NewWithOptions is like New, but replaces the parts set in options.
func NewWithOptions(settings Settings, store bulrushchute.Store, clock bulrushchute.Clock, options Options) *Node {
	protocols := options.protocols()
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		settings: settings,
		clock:    clock,
		id:       newInstanceID(settings.PeerAddress),
		store:    store,
		board:    &bulrushboard.Board{},
		recorder: bulrushmetric.NewRecorder(maxTenants),
		tasks:    bulrushtask.NewGroup(logTaskResult),
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
	n.client.OnReplaced = func(to bulrushchute.Address, silent bool, attempts int) {
		klog.InfoS("connection replaced", "to", to, "silent", silent, "attempts", attempts)
	}
	n.client.OnHeldUp = n.heldUp.observe
	n.server = bulrushwire.NewServer(ctx, n)
	// Callers and the entry nodes of other callers share one account.
	n.server.Memory = bulrushmemory.NewAccount(settings.callerMemory(), bulrushchute.NewMonotonicClock())
	n.server.OnHeldUp = n.heldUp.observe
	n.server.OnRejected = newConnRefusalLog(clock, "peers").log
	n.admission = newAdmission(ctx, clock, settings.ClockSkewMs, protocols)
	n.admission.coldRateFactor = settings.ColdRateFactor
	n.quarantine = newQuarantine(clock, n.id)
	n.quarantine.publish = func() { n.control.do(n.context, n.control.publishQuarantine) }
	n.admission.quarantine = n.quarantine
	n.runner = &runner{
		clock:         clock,
		board:         n.board,
		serviceStates: newServiceStates(n.self, settings, clock),
		exchange:      n.exchange,
		tasks:         bulrushtask.NewGroup(nil),
		quarantine:    n.quarantine,
	}
	n.keys = newKeys(n, n.id)
	n.moves = newMoves(n)
	n.admission.trial = n.moves
	n.runner.observeSample = n.moves.observeAttempt
	n.control = newControl(n, n.self)
	n.keys.control = n.control
	n.moves.control = n.control
	n.usage = newUsage(n, options.Usage)
	if n.usage != nil {
		n.usageStatus = n.usage.status
	}
	n.control.usage = n.usage
	n.admission.usage = n.usage
	n.followEras()
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

func logTaskResult(result bulrushtask.Result) {
	if result.Err != nil && !errors.Is(result.Err, context.Canceled) {
		klog.ErrorS(result.Err, "task ended", "task", result.Name)
	}
}

// ownService returns the service of the backend server beside this node.
func (n *Node) ownService() bulrushchute.Service {
	if n.settings.Service != "" {
		return n.settings.Service
	}
	return n.admission.latestAnnouncement().Service
}

// newInstanceID returns a unique ID for this run of the process. The address
// makes it readable, the random part makes it unique.
func newInstanceID(address bulrushchute.Address) bulrushchute.InstanceID {
	var random [6]byte
	_, _ = rand.Read(random[:])
	return bulrushchute.InstanceID(string(address) + "/" + hex.EncodeToString(random[:]))
}

// HandleAttempt implements bulrushwire.Handler.
func (n *Node) HandleAttempt(ctx context.Context, attempt bulrushchute.Attempt) bulrushchute.Reply {
	if attempt.Target != n.id {
		// This process took over the address after the sender had learned it.
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

// exchange sends an attempt to an instance and returns the reply. An attempt for
// this node's own backend server does not use the network.
func (n *Node) exchange(ctx context.Context, instance bulrushchute.Instance, attempt bulrushchute.Attempt) (bulrushchute.Reply, error) {
	if instance.ID == n.id {
		return n.HandleAttempt(ctx, attempt), nil
	}
	return n.client.Exchange(ctx, instance.Address, attempt)
}

// ExpiredError reports a node that was paused for so long that it must be
// restarted with a new instance ID.
type ExpiredError struct {
	Instance bulrushchute.InstanceID
}

// Error implements error.
func (e *ExpiredError) Error() string {
	return "instance " + string(e.Instance) + " was paused too long and must be started again"
}

// Run serves until the context ends, then drains and returns. It returns
// an *ExpiredError if the process must be restarted.
func (n *Node) Run(ctx context.Context) error {
	if n.tlsError != nil {
		return n.tlsError
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	n.control.expire = func() { cancel(&ExpiredError{Instance: n.id}) }
	callerListener, peerListener, err := n.listen(ctx)
	if err != nil {
		return err
	}
	klog.InfoS("node started", "instance", n.id, "data_centre", n.settings.DataCentre,
		"caller_address", n.settings.CallerAddress, "peer_address", n.settings.PeerAddress)
	requestCtx, cancelRequests := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelRequests()
	callerServer := n.newCallerServer()
	peerMux := http.NewServeMux()
	peerMux.Handle(bulrushwire.PeerPath, n.server)
	peerServer := n.newHTTPServer("peers", peerMux)
	n.start("callers", func(context.Context) error { return callerServer.Serve(requestCtx, callerListener) })
	n.start("peers", func(context.Context) error { return ignoreClosed(peerServer.Serve(peerListener)) })
	n.start("control", n.control.run)
	n.start("large records", n.control.largeRecords.run)
	n.start("announcer", n.runSelfUpdates)
	n.start("prober", newProber(n.admission, n.probeSettings).run)
	n.start("pacer", n.admission.runLoadPoller)
	n.start("bootstrap", n.bootstrap)
	readerCtx, stopReaders := context.WithCancel(n.context)
	catalogueReader := &reader{node: n, kinds: n.kinds}
	n.tasks.Start(readerCtx, "reader", catalogueReader.run)
	n.tasks.Start(readerCtx, "confirmations", catalogueReader.runConfirmations)
	n.tasks.Start(readerCtx, "move leases", n.moves.runLeases)
	n.tasks.Start(readerCtx, "quarantine writer", func(ctx context.Context) error {
		writer := &quarantineWriter{store: n.store, instance: n.id}
		return writer.run(ctx, n.quarantine.durable)
	})
	if n.usage != nil {
		n.tasks.Start(readerCtx, "usage lease", n.usage.duty.runLease)
	}
	<-ctx.Done()
	stopReaders()
	err = n.drain(&callerEndpoint{listener: callerListener, server: callerServer, entryHandler: n.entryHandler, cancel: cancelRequests}, peerServer)
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

func (n *Node) newCallerServer() *bulrushcaller.Server {
	server := bulrushcaller.NewServer(bulrushcaller.Settings{
		Limits:            func() bulrushcaller.Limits { return callerLimits(n.board.Read().Catalogue.Routing()) },
		Memory:            n.server.Memory,
		MaxConnections:    n.settings.maxCallerConnections(),
		ReadAheadRequests: cmp.Or(n.settings.ReadAheadRequests, DefaultReadAheadRequests),
		ReadAheadBytes:    cmp.Or(n.settings.ReadAheadBytes, DefaultReadAheadBytes),
	}, n.entryHandler, n.clock)
	server.OnRejected = newConnRefusalLog(n.clock, "callers").log
	return server
}

func (n *Node) newHTTPServer(listener string, handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		MaxHeaderBytes:    maxControlHeaderBytes,
		ErrorLog:          newConnRefusalLog(n.clock, listener).logger(),
	}
}

func (n *Node) listen(ctx context.Context) (net.Listener, net.Listener, error) {
	listenConfig := bulrushsocket.NewListenConfig()
	callerListener, err := listenConfig.Listen(ctx, "tcp", string(n.settings.CallerAddress))
	if err != nil {
		return nil, nil, errors.Wrap(err, "listen for callers")
	}
	peerListener, err := listenConfig.Listen(ctx, "tcp", string(n.settings.PeerAddress))
	if err != nil {
		_ = callerListener.Close()
		return nil, nil, errors.Wrap(err, "listen for peers")
	}
	return withTLS(callerListener, n.tls.caller), withTLS(peerListener, n.tls.peerServer), nil
}

// withTLS wraps a listener with TLS, or returns it unchanged if config is nil.
func withTLS(listener net.Listener, config *tls.Config) net.Listener {
	if config == nil {
		return listener
	}
	return tls.NewListener(listener, config)
}

// Announce handles an announcement of the backend server beside this node. It returns a
// *bulrushchute.FieldError for another server than the one of the settings.
func (n *Node) Announce(announcement Announcement) error {
	if err := announcement.checkServer(n.settings); err != nil {
		return err
	}
	n.admission.heard()
	if n.admission.isLatest(announcement) {
		return nil
	}
	n.admission.announce(announcement)
	if entry, exists := n.board.Read().Catalogue.Service(announcement.Service); exists {
		n.admission.configure(entry)
	}
	// Until the load of a new server is known, the cold ramp limits its requests, at
	// first to cold_slots at a time (1 by default).
	n.start("first load reading", n.admission.readInitialLoad)
	klog.InfoS("backend server announced", "service", announcement.Service, "version", announcement.Version,
		"address", announcement.Address, "state", announcement.State)
	return nil
}

// runSelfUpdates keeps the node's own member record up to date with the state of
// its backend server.
func (n *Node) runSelfUpdates(ctx context.Context) error {
	ticker := time.NewTicker(selfUpdateInterval)
	defer ticker.Stop()
	var lastColdChangeAt bulrushchute.Millis
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		n.control.do(ctx, func(now bulrushchute.Millis) {
			if n.control.updateSelf(now, n.admission, now-lastColdChangeAt >= coldChangeInterval) {
				lastColdChangeAt = now
			}
		})
	}
}

// updateSelf publishes the node's own member record if it has changed. A change
// that is only between cold and ready is published only if allowColdChange is set.
// updateSelf returns true if it has published such a change.
func (c *control) updateSelf(now bulrushchute.Millis, admission *admission, allowColdChange bool) bool {
	backend, state := admission.state()
	if c.draining {
		state = bulrushchute.StateLeaving
	}
	current := c.membership.Self()
	updated := current.WithBackendServer(backend.Service, backend.Version, backend.Slots).
		WithStartedAt(backend.StartedAtMs).
		WithState(state)
	if updated == current {
		return false
	}
	coldChangeOnly := current.WithState(state) == updated && current.State.TakesWork() && state.TakesWork()
	if coldChangeOnly && !allowColdChange {
		return false
	}
	c.membership.Update(now, updated)
	if now-c.startedAt < announceDuration {
		c.introduceToMembers(now)
	}
	if backend.Service != "" {
		c.keys.setService(now, backend.Service)
	}
	return coldChangeOnly
}

func (n *Node) probeSettings(service bulrushchute.Service) bulrushcatalogue.Probe {
	entry, _ := n.board.Read().Catalogue.Service(service)
	return entry.WithDefaults().Probe
}
