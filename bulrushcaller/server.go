package bulrushcaller

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushmemory"
	"bulrushchute.example/bulrushchute/bulrushtask"
)

const (
	// minAcceptDelay is the delay after a failure to accept a connection, such as a
	// lack of file descriptors. It doubles up to maxAcceptDelay.
	minAcceptDelay = 5 * time.Millisecond
	maxAcceptDelay = time.Second
	// closePollInterval is how often Shutdown checks for open connections.
	closePollInterval = 10 * time.Millisecond
	// idleCheckInterval is how often connections are checked against the idle timeout.
	idleCheckInterval = time.Second
)

// Handler serves requests.
type Handler interface {
	http.Handler
	// RunsAhead reports whether a request may be served at the same time as other
	// requests of its connection. It must be true only for idempotent requests.
	RunsAhead(request *http.Request) bool
	// BodyTimeout returns the time that the body of a request may take to arrive.
	BodyTimeout(request *http.Request) bulrushchute.Millis
}

// Limits limit what a caller may send.
type Limits struct {
	// HeaderBytes limits the request line and headers of a request.
	HeaderBytes int
	// BodyBytes limits the body of a request. The handler gets a *BodyError instead of a
	// longer one.
	BodyBytes int64
	// HeaderTimeout is the time from the first byte of a request after which its
	// connection is closed if its headers are incomplete.
	HeaderTimeout bulrushchute.Millis
	// IdleTimeout is the time after which a connection without a request is closed. It is
	// exceeded by up to two seconds.
	IdleTimeout bulrushchute.Millis
}

// Settings configure a Server.
type Settings struct {
	// Limits returns the limits in force. It is called for each request.
	Limits func() Limits
	// Memory is charged with what requests take beyond requestAllowance.
	Memory *bulrushmemory.Account
	// MaxConnections limits the open connections. A further one takes the place of those
	// that are without a request for the longest time.
	MaxConnections int
	// ReadAheadRequests and ReadAheadBytes limit what is read from a connection
	// before its oldest response has been sent: the number of requests after the
	// oldest one, and the bytes of their bodies.
	ReadAheadRequests int
	ReadAheadBytes    int
}

// Server serves the requests of callers. It is safe for concurrent use.
type Server struct {
	settings Settings
	handler  Handler
	clock    bulrushchute.Clock
	tasks    *bulrushtask.Group
	// OnRejected is called for each connection whose TLS handshake failed, that sent no
	// request in the protocol or one over the limits, or that was closed in favour of
	// another one. It must be set before Serve, must not block and may be nil.
	OnRejected func(remote, reason string)

	mutex       sync.Mutex
	connections map[*connection]struct{}
	closing     bool
}

// NewServer returns a server that passes requests to the handler.
func NewServer(settings Settings, handler Handler, clock bulrushchute.Clock) *Server {
	return &Server{
		settings: settings, handler: handler, clock: clock,
		tasks: bulrushtask.NewGroup(nil), connections: make(map[*connection]struct{}),
	}
}

// Serve accepts connections until the listener is closed, and returns nil then.
// The contexts of requests derive from ctx.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	accepting, cancel := context.WithCancel(ctx)
	defer cancel()
	s.tasks.Start(accepting, "idle connections", s.closeOverdue)
	delay := minAcceptDelay
	for {
		socket, err := listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case ctx.Err() != nil:
			return ctx.Err()
		case err != nil:
			s.evictIdle()
			bulrushtask.Pause(ctx, delay)
			delay = min(2*delay, maxAcceptDelay)
			continue
		}
		delay = minAcceptDelay
		s.serveSocket(ctx, socket)
	}
}

// serveSocket starts to serve a connection, if there is room for it.
func (s *Server) serveSocket(ctx context.Context, socket net.Conn) {
	if s.isFull() {
		s.evictIdle()
	}
	ctx, cancel := context.WithCancel(ctx)
	c := newConnection(s, socket, cancel)
	if !s.add(c) {
		cancel()
		_ = socket.Close()
		return
	}
	s.tasks.Start(ctx, "caller", func(ctx context.Context) error {
		defer cancel()
		defer s.remove(c)
		c.serve(ctx)
		return nil
	})
}

func (s *Server) isFull() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.connections) >= s.settings.MaxConnections
}

// evictionFraction is the fraction of MaxConnections that is evicted at a time, so that the
// search for them is rare.
const evictionFraction = 32

// evictIdle closes the connections that are first in the order of evictionRank.
func (s *Server) evictIdle() {
	type candidate struct {
		connection *connection
		rank       evictionRank
		since      bulrushchute.Millis
	}
	now := s.clock.Now()
	var candidates []candidate
	for _, c := range s.open() {
		if rank, since := c.evictionRank(now); rank != notEvictable {
			candidates = append(candidates, candidate{connection: c, rank: rank, since: since})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.since, b.since))
	})
	count := min(len(candidates), max(1, s.settings.MaxConnections/evictionFraction))
	for _, c := range candidates[:count] {
		if c.connection.evict(c.rank) {
			s.remove(c.connection)
		}
	}
}

// closeOverdue closes idle connections after the idle timeout.
func (s *Server) closeOverdue(ctx context.Context) error {
	for ctx.Err() == nil {
		bulrushtask.Pause(ctx, idleCheckInterval)
		timeout := s.settings.Limits().IdleTimeout
		for _, c := range s.open() {
			c.closeIfOverdue(s.clock.Now(), timeout)
		}
	}
	return nil
}

func (s *Server) open() []*connection {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	open := make([]*connection, 0, len(s.connections))
	for c := range s.connections {
		open = append(open, c)
	}
	return open
}

// add registers a connection, and returns false if the server is closing or full.
func (s *Server) add(c *connection) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closing || len(s.connections) >= s.settings.MaxConnections {
		return false
	}
	s.connections[c] = struct{}{}
	return true
}

func (s *Server) remove(c *connection) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.connections, c)
}

func (s *Server) isClosing() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.closing
}

// CloseIdle closes the connections that have no request now, and the others after
// the responses to the requests that have been read.
func (s *Server) CloseIdle() {
	s.mutex.Lock()
	s.closing = true
	s.mutex.Unlock()
	for _, c := range s.open() {
		c.closeIfIdle()
	}
}

// Shutdown is CloseIdle, but also waits until all connections are closed. When the
// context ends first, it returns the context's error and leaves the remaining ones
// open. The listener must be closed before.
func (s *Server) Shutdown(ctx context.Context) error {
	for {
		s.CloseIdle()
		if s.openConnections() == 0 {
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		bulrushtask.Pause(ctx, closePollInterval)
	}
}

func (s *Server) openConnections() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.connections)
}

// Close closes all connections and waits until their requests have ended. The
// listener must be closed and the context of Serve must have ended before.
func (s *Server) Close() {
	s.mutex.Lock()
	s.closing = true
	for c := range s.connections {
		_ = c.socket.Close()
	}
	s.mutex.Unlock()
	s.tasks.Wait()
}
