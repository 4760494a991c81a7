package bulrushwire

import (
	"context"
	"crypto/tls"
	"net/http"
	"slices"
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
	clock          bulrushchute.Clock
	// bootClock measures the delay of attempts, also while the machine was suspended.
	bootClock   bulrushchute.Clock
	resumptions resumptionCounters
	tasks       *bulrushtask.Group
	// OnRejected is called for each dial that failed the TLS handshake or that
	// the peer rejected. It must be set before the first dial and may be nil.
	OnRejected func(to, reason string)
	// OnReplaced is called when a connection on which attempts were outstanding was
	// replaced by another one. It must be set before the first dial and may be nil.
	OnReplaced func(to bulrushchute.Address, silent bool, attempts int)
	// OnHeldUp is called for messages to and from peers that were held up. It must be
	// set before the first dial and may be nil.
	OnHeldUp func(HeldUp)
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
		clock:         bulrushchute.NewMonotonicClock(),
		bootClock:     bulrushchute.NewBootClock(),
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
	return c.peer(to).exchange(ctx, attempt)
}

func (c *Client) peer(address bulrushchute.Address) *dataPeer {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	peer, exists := c.dataPeers[address]
	if !exists {
		peer = &dataPeer{
			client: c, address: address,
			pending: make(map[bulrushchute.AttemptID]pendingAttempt), acks: make(map[bulrushchute.AttemptID]chan PartAck),
		}
		c.dataPeers[address] = peer
	}
	return peer
}

func (c *Client) dial(ctx context.Context, address bulrushchute.Address) (*connection, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	id := newConnectionID()
	options := &websocket.DialOptions{
		HTTPClient:      c.httpClient,
		HTTPHeader:      http.Header{headerPeerAddress: {string(c.self)}, headerConnection: {id.String()}},
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
	connection := newConnection(c.context, socket, id, address, c.OnHeldUp)
	connection.writeTimeout = writeTimeout
	connection.process = response.Header.Get(headerProcess)
	connection.acceptsParts = response.Header.Get(headerParts) == acceptsParts
	return connection, nil
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
	message := Message{Control: &control}
	if carriesConfirmation(control) {
		message.SentAt = c.bootClock.Now()
	}
	select {
	case queue <- message:
	default:
		c.droppedControl.Add(1)
	}
}

// carriesConfirmation reports whether the age of a control message matters.
func carriesConfirmation(control bulrushchute.Control) bool {
	if control.Records == nil {
		return control.Confirmation != nil
	}
	return slices.ContainsFunc(control.Records.Records, func(record bulrushchute.Record) bool {
		return record.Key.Topic == bulrushchute.TopicConfirmation
	})
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
			return dialed.read(ctx, func() {}, func(Message) {})
		})
	}
	if err := current.write(ctx, message); err != nil {
		current.close()
		return nil
	}
	return current
}
