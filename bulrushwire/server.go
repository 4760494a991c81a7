package bulrushwire

import (
	"context"
	"net/http"
	"sync"

	"github.com/coder/websocket"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushtask"
)

// PeerPath is the HTTP path on which nodes accept connections from each other.
const PeerPath = "/v1/peer"

// headerPeerAddress holds the address on which the connecting node itself
// accepts connections from peers.
const headerPeerAddress = "Bulrush-Peer-Address"

// Handler handles messages from other nodes.
type Handler interface {
	// HandleAttempt runs an attempt and returns its reply. The context ends when
	// the sender cancels the attempt or its connection is lost.
	HandleAttempt(ctx context.Context, attempt bulrushchute.Attempt) bulrushchute.Reply
	// HandleControl handles a control message from the node at the given address.
	// It must not block.
	HandleControl(from bulrushchute.Address, control bulrushchute.Control)
}

// Server accepts connections from other nodes.
type Server struct {
	handler Handler
	// context ends when the node stops, which closes all connections.
	context context.Context
	tasks   *bulrushtask.Group
	// OnRejected is called for each connection rejected because of its stated
	// address. It must be set before the first connection and may be nil.
	OnRejected func(remote, reason string)
}

// NewServer returns a server that closes its connections when the context ends.
func NewServer(ctx context.Context, handler Handler) *Server {
	return &Server{handler: handler, context: ctx, tasks: bulrushtask.NewGroup(nil)}
}

// ServeHTTP upgrades the request to a WebSocket connection and handles its
// messages until it is closed.
// On a TLS connection the IP address that the peer states must be listed in its
// client certificate, which the listener has verified.
func (s *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	peer := request.Header.Get(headerPeerAddress)
	if err := checkPeerAddress(peer, request.TLS); err != nil {
		if s.OnRejected != nil {
			s.OnRejected(request.RemoteAddr, err.Error())
		}
		http.Error(writer, err.Error(), err.status)
		return
	}
	socket, err := websocket.Accept(writer, request, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return
	}
	ctx, cancel := context.WithCancel(s.context)
	defer cancel()
	session := &session{
		server:     s,
		peer:       bulrushchute.Address(peer),
		connection: newConnection(socket),
		running:    make(map[bulrushchute.AttemptID]context.CancelFunc),
	}
	_ = session.connection.read(ctx, func(message Message) { session.handle(ctx, message) })
}

// Wait blocks until all running attempts have ended.
func (s *Server) Wait() {
	s.tasks.Wait()
}

// session is the server side of one connection. It holds the cancel functions
// of its running attempts.
type session struct {
	server     *Server
	peer       bulrushchute.Address
	connection *connection
	mutex      sync.Mutex
	running    map[bulrushchute.AttemptID]context.CancelFunc
}

func (s *session) handle(ctx context.Context, message Message) {
	switch {
	case message.Attempt != nil:
		s.startAttempt(ctx, *message.Attempt)
	case message.Cancel != nil:
		s.cancelAttempt(*message.Cancel)
	case message.Control != nil:
		s.server.handler.HandleControl(s.peer, *message.Control)
	}
}

// startAttempt runs an attempt in a goroutine. An attempt with the ID of a
// running one violates the protocol and is dropped, since both replies would
// carry the same ID.
func (s *session) startAttempt(ctx context.Context, attempt bulrushchute.Attempt) {
	ctx, cancel := context.WithCancel(ctx)
	if !s.addRunning(attempt.ID, cancel) {
		cancel()
		return
	}
	s.server.tasks.Start(ctx, "attempt", func(ctx context.Context) error {
		return s.runAttempt(ctx, attempt)
	})
}

func (s *session) runAttempt(ctx context.Context, attempt bulrushchute.Attempt) error {
	defer s.cancelAttempt(attempt.ID)
	reply := s.server.handler.HandleAttempt(ctx, attempt)
	reply.ID = attempt.ID
	// The attempt's context could end during the write, which would close the
	// connection for all attempts that share it.
	return s.connection.write(s.server.context, Message{Reply: &reply})
}

// addRunning records the cancel function of an attempt. It returns false if an
// attempt with the same ID is running.
func (s *session) addRunning(id bulrushchute.AttemptID, cancel context.CancelFunc) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, exists := s.running[id]; exists {
		return false
	}
	s.running[id] = cancel
	return true
}

func (s *session) cancelAttempt(id bulrushchute.AttemptID) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if cancel, exists := s.running[id]; exists {
		delete(s.running, id)
		cancel()
	}
}
