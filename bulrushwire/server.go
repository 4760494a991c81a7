package bulrushwire

import (
	"context"
	"net/http"
	"sync"

	"github.com/coder/websocket"
	"github.com/pkg/errors"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushmemory"
	"bulrushchute.example/bulrushchute/bulrushresume"
	"bulrushchute.example/bulrushchute/bulrushtask"
)

// PeerPath is the HTTP path on which nodes accept connections from each other.
const PeerPath = "/v1/peer"

// Headers of the HTTP request and response that open a connection.
const (
	// headerPeerAddress holds the address on which the connecting node itself
	// accepts connections from peers.
	headerPeerAddress = "Bulrush-Peer-Address"
	// headerConnection holds the connection's ID, in hexadecimal digits.
	headerConnection = "Bulrush-Connection"
	// headerProcess holds an ID of the accepting process.
	headerProcess = "Bulrush-Process"
	// headerParts is set by an accepting node that accepts bodies in parts.
	headerParts = "Bulrush-Parts"
)

// defaultMemory is that of a Server whose Memory is not set.
const defaultMemory = 88 << 20

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
	clock   bulrushchute.Clock
	// bootClock measures the delay of attempts, also while the machine was suspended.
	bootClock bulrushchute.Clock
	process   string
	tasks     *bulrushtask.Group
	mutex     sync.Mutex
	ledger    *bulrushresume.Ledger
	// sessions are the open connections, and cancels end the running attempts.
	sessions map[bulrushresume.ConnectionID]*session
	cancels  map[bulrushchute.AttemptID]context.CancelFunc
	// Memory is charged with the large attempts of peers. It must not be changed after the
	// first connection.
	Memory *bulrushmemory.Account
	// OnRejected is called for each connection rejected because of its stated
	// address. It must be set before the first connection and may be nil.
	OnRejected func(remote, reason string)
	// OnHeldUp is called for messages of peers, and to them, that were held up. It must
	// be set before the first connection and may be nil.
	OnHeldUp func(HeldUp)
}

// NewServer returns a server that closes its connections when the context ends.
func NewServer(ctx context.Context, handler Handler) *Server {
	return &Server{
		handler:   handler,
		context:   ctx,
		clock:     bulrushchute.NewMonotonicClock(),
		bootClock: bulrushchute.NewBootClock(),
		process:   newConnectionID().String(),
		tasks:     bulrushtask.NewGroup(nil),
		ledger:    bulrushresume.NewLedger(bulrushresume.DefaultLimits),
		sessions:  make(map[bulrushresume.ConnectionID]*session),
		cancels:   make(map[bulrushchute.AttemptID]context.CancelFunc),
		Memory:    bulrushmemory.NewAccount(defaultMemory, bulrushchute.NewMonotonicClock()),
	}
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
	id, err := bulrushresume.ParseConnectionID(request.Header.Get(headerConnection))
	if err != nil {
		// The peer cannot resume attempts.
		id = newConnectionID()
	}
	writer.Header().Set(headerProcess, s.process)
	writer.Header().Set(headerParts, acceptsParts)
	socket, err := websocket.Accept(writer, request, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return
	}
	ctx, cancel := context.WithCancel(s.context)
	defer cancel()
	session := &session{
		server: s, peer: bulrushchute.Address(peer), pongDue: make(chan struct{}, 1),
		assemblies: make(map[bulrushchute.AttemptID]*assembly), acks: newAckQueue(),
	}
	defer session.dropAllParts()
	session.connection = newConnection(s.context, socket, id, session.peer, s.OnHeldUp)
	if !s.addSession(session) {
		session.connection.close()
		return
	}
	defer s.removeSession(session)
	writers := bulrushtask.NewGroup(nil)
	writers.Start(ctx, "pongs", session.sendPongs)
	writers.Start(ctx, "acknowledgements", session.sendAcks)
	_ = session.connection.read(ctx, func() {}, session.handle)
	cancel()
	writers.Wait()
}

// Wait blocks until all running attempts have ended.
func (s *Server) Wait() {
	s.tasks.Wait()
}

// addSession returns false if the peer has given the connection up already.
func (s *Server) addSession(added *session) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.ledger.Opened(added.connection.id) {
		return false
	}
	s.sessions[added.connection.id] = added
	return true
}

// removeSession leaves the running attempts time to be resumed on another connection.
func (s *Server) removeSession(removed *session) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.sessions, removed.connection.id)
	s.ledger.Lost(s.clock.Now(), removed.connection.id)
	s.tasks.Start(s.context, "lost connection", func(ctx context.Context) error {
		bulrushtask.Pause(ctx, (bulrushresume.ResumeWait + bulrushchute.Millisecond).Duration())
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.expire()
		return nil
	})
}

// expire cancels the attempts that nobody has resumed. The mutex is held.
func (s *Server) expire() {
	for _, id := range s.ledger.Expire(s.clock.Now()) {
		s.cancel(id)
	}
}

// cancel ends an attempt. The mutex is held.
func (s *Server) cancel(id bulrushchute.AttemptID) {
	if cancel, exists := s.cancels[id]; exists {
		delete(s.cancels, id)
		cancel()
	}
}

// session is the server side of one connection.
type session struct {
	server     *Server
	peer       bulrushchute.Address
	connection *connection
	// pongDue has an element while a pong has to be written.
	pongDue chan struct{}
	// delays belongs to the goroutine that reads the connection.
	delays bulrushresume.DelayMeter
	// assemblies are the bodies whose attempts have not arrived. They belong to the
	// goroutine that reads the connection.
	assemblies map[bulrushchute.AttemptID]*assembly
	acks       *ackQueue
}

// handle must not block: attempts and cancels of the peer are read only after it.
func (s *session) handle(message Message) {
	switch {
	case message.Attempt != nil:
		delay := s.delayOf(message)
		s.connection.report(message, StagePath, delay)
		s.startAttempt(message.Attempt.WithDelay(delay))
	case message.Part != nil:
		s.addPart(*message.Part)
	case message.Cancel != nil:
		s.dropParts(*message.Cancel)
		s.server.mutex.Lock()
		s.server.cancel(*message.Cancel)
		s.server.mutex.Unlock()
	case message.Control != nil:
		control := *message.Control
		control.Delay = s.delayOf(message)
		s.connection.report(message, StagePath, control.Delay)
		s.server.handler.HandleControl(s.peer, control)
	case message.Ping != nil:
		select {
		case s.pongDue <- struct{}{}:
		default:
			// The pong that waits to be written answers this ping as well.
		}
	case message.Resume != nil:
		s.resume(*message.Resume)
	}
}

// sendPongs writes pongs until the connection ends. A pong waits while replies fill
// the connection.
func (s *session) sendPongs(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.pongDue:
		}
		if err := s.connection.write(ctx, Message{Pong: &Ping{}}); err != nil {
			return err
		}
	}
}

// delayOf returns by how much a message arrived later than the fastest one, or 0 if its
// sender does not state when it was sent.
func (s *session) delayOf(message Message) bulrushchute.Millis {
	if message.SentAt == 0 {
		return 0
	}
	return s.delays.Observe(message.SentAt, s.server.bootClock.Now())
}

// startAttempt runs an attempt in a goroutine. An attempt whose ID has arrived
// before violates the protocol and is dropped, since both replies would carry the
// same ID.
func (s *session) startAttempt(attempt bulrushchute.Attempt) {
	attempt, share, ok := s.claimMemory(attempt)
	if !ok {
		s.refuse(attempt.ID)
		return
	}
	ctx, begins := s.server.begin(s.connection.id, attempt)
	if !begins {
		share.Release()
		return
	}
	s.server.tasks.Start(ctx, "attempt", func(ctx context.Context) error {
		defer share.Release()
		return s.server.runAttempt(ctx, attempt)
	})
}

// begin returns the context of an attempt, or false if it must not run.
func (s *Server) begin(connection bulrushresume.ConnectionID, attempt bulrushchute.Attempt) (context.Context, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire()
	if !s.ledger.Begin(s.clock.Now(), connection, attempt.ID, attempt.Remaining) {
		return nil, false
	}
	ctx, cancel := context.WithCancel(s.context)
	s.cancels[attempt.ID] = cancel
	return ctx, true
}

// runAttempt sends the reply on the connection to which the attempt belongs by then.
// Without one, the reply waits for the peer to ask for it.
func (s *Server) runAttempt(ctx context.Context, attempt bulrushchute.Attempt) error {
	ctx, hold := bulrushmemory.WithHold(ctx)
	defer hold.Release()
	reply := s.handler.HandleAttempt(ctx, attempt)
	reply.ID = attempt.ID
	s.mutex.Lock()
	session := s.sessions[s.ledger.End(s.clock.Now(), attempt.ID, reply)]
	s.cancel(attempt.ID)
	s.mutex.Unlock()
	if session == nil {
		return nil
	}
	err := session.connection.write(s.context, Message{Reply: &reply})
	var malformed *MessageError
	if errors.As(err, &malformed) {
		failure := bulrushchute.Reply{ID: reply.ID, Load: reply.Load, Failure: &bulrushchute.Failure{Reason: bulrushchute.ReasonTooLarge}}
		return session.connection.write(s.context, Message{Reply: &failure})
	}
	return err
}

// resume moves attempts to this connection, and closes those on which they were sent.
func (s *session) resume(message Resume) {
	var resumed Resumed
	var replies []*bulrushchute.Reply
	var replaced []*session
	s.server.mutex.Lock()
	now := s.server.clock.Now()
	known := s.server.ledger.Fence(now, message.Connections)
	for _, id := range message.Attempts {
		switch state, reply := s.server.ledger.Resume(now, known, s.connection.id, id); state {
		case bulrushresume.StateNeverSeen:
			resumed.NeverSeen = append(resumed.NeverSeen, id)
		case bulrushresume.StateGone:
			resumed.Gone = append(resumed.Gone, id)
		case bulrushresume.StateReplied:
			replies = append(replies, reply)
		}
	}
	for _, id := range message.Connections {
		if session, exists := s.server.sessions[id]; exists {
			replaced = append(replaced, session)
		}
	}
	s.server.mutex.Unlock()
	for _, session := range replaced {
		session.connection.close()
	}
	s.server.tasks.Start(s.server.context, "resume", func(ctx context.Context) error {
		if err := s.connection.write(ctx, Message{Resumed: &resumed}); err != nil {
			return err
		}
		for _, reply := range replies {
			if err := s.connection.write(ctx, Message{Reply: reply}); err != nil {
				return err
			}
		}
		return nil
	})
}
