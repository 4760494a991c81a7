package bulrushwire

import (
	"context"
	"crypto/tls"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushsocket"
	"bulrushchute.example/bulrushchute/bulrushtask"
)

// Timeouts and queue length of the client's connections.
const (
	dialTimeout = time.Second
	// controlQueueLength is the number of control messages queued for one peer.
	// Control messages are repeated or superseded, so a new message is dropped
	// when the queue is full.
	controlQueueLength = 64
	writeTimeout       = 2 * time.Second
	// controlIdleTimeout is the time without a message after which a control
	// connection is closed. The peer is then no longer a neighbour in the
	// membership overlay.
	controlIdleTimeout = time.Minute
)

// Client sends messages to other nodes over persistent connections. It
// implements bulrushchute.Transport.
type Client struct {
	// context ends when the node stops.
	context context.Context
	// self is sent to peers when a connection is opened, so that they can answer
	// control messages.
	self           bulrushchute.Address
	scheme         string
	httpClient     *http.Client
	mutex          sync.Mutex
	dataPeers      map[bulrushchute.Address]*dataPeer
	controlQueues  map[bulrushchute.Address]chan Message
	lateReplies    atomic.Int64
	droppedControl atomic.Int64
	tasks          *bulrushtask.Group
	// OnRejected is called for each dial that failed the TLS handshake or that
	// the peer rejected. It must be set before the first dial and may be nil.
	OnRejected func(to, reason string)
}

// NewClient returns a client for the node with the given peer address. The
// context's end closes its connections. A nil TLS configuration means
// connections without TLS.
func NewClient(ctx context.Context, self bulrushchute.Address, config *tls.Config) *Client {
	scheme := "ws"
	if config != nil {
		scheme = "wss"
	}
	transport := &http.Transport{
		DialContext:         bulrushsocket.NewDialer(dialTimeout).DialContext,
		TLSClientConfig:     config,
		TLSHandshakeTimeout: dialTimeout,
	}
	return &Client{
		context:       ctx,
		self:          self,
		scheme:        scheme,
		httpClient:    &http.Client{Transport: transport},
		dataPeers:     make(map[bulrushchute.Address]*dataPeer),
		controlQueues: make(map[bulrushchute.Address]chan Message),
		tasks:         bulrushtask.NewGroup(nil),
	}
}

// LateReplies returns the number of replies that arrived after their attempt
// had ended.
func (c *Client) LateReplies() int64 {
	return c.lateReplies.Load()
}

// DroppedControl returns the number of control messages that were dropped
// because the peer's queue was full.
func (c *Client) DroppedControl() int64 {
	return c.droppedControl.Load()
}

// Wait blocks until the client's goroutines have returned, which they do when
// the context given to NewClient ends.
func (c *Client) Wait() {
	c.tasks.Wait()
}

// Exchange implements bulrushchute.Transport.
func (c *Client) Exchange(ctx context.Context, to bulrushchute.Address, attempt bulrushchute.Attempt) (bulrushchute.Reply, error) {
	peer := c.peer(to)
	connection, err := peer.connect(ctx)
	if err != nil {
		return bulrushchute.Reply{}, &bulrushchute.NotSentError{Address: to, Cause: err}
	}
	return peer.exchange(ctx, connection, attempt)
}

func (c *Client) peer(address bulrushchute.Address) *dataPeer {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	peer, exists := c.dataPeers[address]
	if !exists {
		peer = &dataPeer{client: c, address: address, pending: make(map[bulrushchute.AttemptID]pendingAttempt)}
		c.dataPeers[address] = peer
	}
	return peer
}

func (c *Client) dial(ctx context.Context, address bulrushchute.Address) (*connection, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	options := &websocket.DialOptions{
		HTTPClient:      c.httpClient,
		HTTPHeader:      http.Header{headerPeerAddress: {string(c.self)}},
		CompressionMode: websocket.CompressionDisabled,
	}
	socket, response, err := websocket.Dial(ctx, c.scheme+"://"+string(address)+PeerPath, options)
	if response != nil && response.Body != nil {
		_ = response.Body.Close()
	}
	if err != nil {
		if c.OnRejected != nil && isRejection(err, response) {
			c.OnRejected(string(address), err.Error())
		}
		return nil, errors.Wrap(err, "connect to peer")
	}
	return newConnection(socket), nil
}

// pendingAttempt is an attempt that was sent on a connection and awaits its
// reply. The channel is closed when the connection is lost.
type pendingAttempt struct {
	connection *connection
	reply      chan bulrushchute.Reply
}

// dataPeer manages the connection that carries attempts to one peer. It dials
// again when the connection has been lost.
type dataPeer struct {
	client  *Client
	address bulrushchute.Address
	// dialMutex is held while dialling, so that concurrent attempts share one
	// connection.
	dialMutex sync.Mutex
	mutex     sync.Mutex
	current   *connection
	pending   map[bulrushchute.AttemptID]pendingAttempt
}

func (p *dataPeer) connect(ctx context.Context) (*connection, error) {
	if connection := p.openConnection(); connection != nil {
		return connection, nil
	}
	p.dialMutex.Lock()
	defer p.dialMutex.Unlock()
	if connection := p.openConnection(); connection != nil {
		return connection, nil
	}
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	connection, err := p.client.dial(ctx, p.address)
	if err != nil {
		return nil, err
	}
	p.mutex.Lock()
	p.current = connection
	p.mutex.Unlock()
	p.client.tasks.Start(p.client.context, "replies", func(ctx context.Context) error {
		return p.readReplies(ctx, connection)
	})
	return connection, nil
}

func (p *dataPeer) openConnection() *connection {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.current == nil || p.current.isClosed() {
		return nil
	}
	return p.current
}

func (p *dataPeer) readReplies(ctx context.Context, connection *connection) error {
	defer p.failPending(connection)
	return connection.read(ctx, p.deliver)
}

// deliver passes a reply to the pending attempt with its ID. Replies to
// attempts that have ended are counted and dropped.
func (p *dataPeer) deliver(message Message) {
	if message.Reply == nil {
		return
	}
	p.mutex.Lock()
	pending, exists := p.pending[message.Reply.ID]
	delete(p.pending, message.Reply.ID)
	p.mutex.Unlock()
	if !exists {
		p.client.lateReplies.Add(1)
		return
	}
	pending.reply <- *message.Reply
}

// failPending fails the pending attempts of a connection that has been lost.
func (p *dataPeer) failPending(connection *connection) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for id, attempt := range p.pending {
		if attempt.connection == connection {
			delete(p.pending, id)
			close(attempt.reply)
		}
	}
}

func (p *dataPeer) exchange(ctx context.Context, connection *connection, attempt bulrushchute.Attempt) (bulrushchute.Reply, error) {
	reply := make(chan bulrushchute.Reply, 1)
	p.mutex.Lock()
	if connection.isClosed() {
		p.mutex.Unlock()
		return bulrushchute.Reply{}, &bulrushchute.NotSentError{Address: p.address, Cause: errors.New("connection closed before sending")}
	}
	p.pending[attempt.ID] = pendingAttempt{connection: connection, reply: reply}
	p.mutex.Unlock()
	if err := p.send(connection, Message{Attempt: &attempt}); err != nil {
		p.removePending(attempt.ID)
		return bulrushchute.Reply{}, err
	}
	return p.awaitReply(ctx, connection, attempt.ID, reply)
}

// send writes a message. It uses its own timeout instead of the attempt's
// context, because cancelling a write closes the connection for all attempts
// that share it.
func (p *dataPeer) send(connection *connection, message Message) error {
	ctx, cancel := context.WithTimeout(p.client.context, writeTimeout)
	defer cancel()
	err := connection.write(ctx, message)
	var malformed *MessageError
	if errors.As(err, &malformed) {
		return &bulrushchute.NotSentError{Address: p.address, Cause: err}
	}
	if err != nil {
		connection.close()
		return &bulrushchute.NoReplyError{Address: p.address, Cause: err}
	}
	return nil
}

func (p *dataPeer) awaitReply(ctx context.Context, connection *connection, id bulrushchute.AttemptID, replies <-chan bulrushchute.Reply) (bulrushchute.Reply, error) {
	select {
	case reply, ok := <-replies:
		if !ok {
			return bulrushchute.Reply{}, &bulrushchute.NoReplyError{Address: p.address, Cause: errors.New("connection lost")}
		}
		return p.verifyReply(reply)
	case <-ctx.Done():
		p.removePending(id)
		_ = p.send(connection, Message{Cancel: &id})
		return bulrushchute.Reply{}, &bulrushchute.NoReplyError{Address: p.address, Cause: ctx.Err()}
	}
}

func (p *dataPeer) verifyReply(reply bulrushchute.Reply) (bulrushchute.Reply, error) {
	if reply.Answer == nil {
		return reply, nil
	}
	if err := VerifyChecksum(*reply.Answer); err != nil {
		return bulrushchute.Reply{}, &bulrushchute.NoReplyError{Address: p.address, Cause: err}
	}
	return reply, nil
}

func (p *dataPeer) removePending(id bulrushchute.AttemptID) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.pending, id)
}

// Send implements bulrushchute.Transport.
func (c *Client) Send(to bulrushchute.Address, control bulrushchute.Control) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	queue, exists := c.controlQueues[to]
	if !exists {
		queue = make(chan Message, controlQueueLength)
		c.controlQueues[to] = queue
		c.tasks.Start(c.context, "control", func(ctx context.Context) error {
			return c.sendControl(ctx, to, queue)
		})
	}
	select {
	case queue <- Message{Control: &control}:
	default:
		c.droppedControl.Add(1)
	}
}

// sendControl writes the control messages queued for a peer until none has
// been queued for controlIdleTimeout or the context ends. A message whose write
// or dial fails is dropped.
func (c *Client) sendControl(ctx context.Context, to bulrushchute.Address, queue <-chan Message) error {
	var connection *connection
	idle := time.NewTimer(controlIdleTimeout)
	defer idle.Stop()
	for {
		select {
		case <-ctx.Done():
			c.closeControl(to, connection)
			return nil
		case <-idle.C:
			c.closeControl(to, connection)
			return nil
		case message := <-queue:
			idle.Reset(controlIdleTimeout)
			connection = c.writeControl(ctx, to, connection, message)
		}
	}
}

// closeControl removes a peer's queue and closes its connection. A later message
// to the peer opens a new one.
func (c *Client) closeControl(to bulrushchute.Address, connection *connection) {
	c.mutex.Lock()
	delete(c.controlQueues, to)
	c.mutex.Unlock()
	if connection != nil {
		connection.close()
	}
}

// writeControl writes a message, dialling first if there is no open connection.
// It returns the connection to use for the next message, nil after an error.
func (c *Client) writeControl(ctx context.Context, to bulrushchute.Address, current *connection, message Message) *connection {
	if current == nil || current.isClosed() {
		dialed, err := c.dial(ctx, to)
		if err != nil {
			return nil
		}
		current = dialed
		// Peers send nothing on a control connection. It is read only to detect
		// when it is lost.
		c.tasks.Start(c.context, "control reader", func(ctx context.Context) error {
			return dialed.read(ctx, func(Message) {})
		})
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if err := current.write(ctx, message); err != nil {
		current.close()
		return nil
	}
	return current
}
