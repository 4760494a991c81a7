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

// Timings of the client's connections.
const (
	dialTimeout = time.Second
	// controlQueue bounds the messages that wait for one peer. Control messages
	// are repeated or superseded, so dropping the newest is harmless.
	controlQueue = 64
	writeTimeout = 2 * time.Second
	// controlIdle closes control connections to peers that are no longer neighbours.
	controlIdle = time.Minute
)

// Client keeps connections to other nodes and implements bulrushchute.Transport.
type Client struct {
	// context ends when the node stops.
	context context.Context
	// self is told to peers, so that they can answer control messages.
	self    bulrushchute.Address
	scheme  string
	http    *http.Client
	mutex   sync.Mutex
	data    map[bulrushchute.Address]*dataPeer
	control map[bulrushchute.Address]chan Frame
	late    atomic.Int64
	dropped atomic.Int64
	tasks   *bulrushtask.Group
	// OnRefused is told of each dial that TLS or the peer refused, if it is set
	// before the first dial.
	OnRefused func(to, reason string)
}

// NewClient returns a client of the node with the given peer address. A nil TLS
// configuration means plain connections.
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
		context: ctx,
		self:    self,
		scheme:  scheme,
		http:    &http.Client{Transport: transport},
		data:    make(map[bulrushchute.Address]*dataPeer),
		control: make(map[bulrushchute.Address]chan Frame),
		tasks:   bulrushtask.NewGroup(nil),
	}
}

// LateReplies counts replies that arrived after their attempt had ended.
func (c *Client) LateReplies() int64 {
	return c.late.Load()
}

// DroppedControl counts control messages that found a full queue.
func (c *Client) DroppedControl() int64 {
	return c.dropped.Load()
}

// Wait blocks until the client's goroutines have ended, which they do when
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
	peer, exists := c.data[address]
	if !exists {
		peer = &dataPeer{client: c, address: address, waiting: make(map[bulrushchute.AttemptID]waiter)}
		c.data[address] = peer
	}
	return peer
}

func (c *Client) dial(ctx context.Context, address bulrushchute.Address) (*connection, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	options := &websocket.DialOptions{
		HTTPClient:      c.http,
		HTTPHeader:      http.Header{headerPeerAddress: {string(c.self)}},
		CompressionMode: websocket.CompressionDisabled,
	}
	socket, response, err := websocket.Dial(ctx, c.scheme+"://"+string(address)+PeerPath, options)
	if response != nil && response.Body != nil {
		_ = response.Body.Close()
	}
	if err != nil {
		if c.OnRefused != nil && isRefusal(err, response) {
			c.OnRefused(string(address), err.Error())
		}
		return nil, errors.Wrap(err, "connect to peer")
	}
	return newConnection(socket), nil
}

// waiter is an attempt that waits for its reply on one connection.
type waiter struct {
	connection *connection
	reply      chan bulrushchute.Reply
}

// dataPeer holds the connection for attempts to one address.
type dataPeer struct {
	client  *Client
	address bulrushchute.Address
	// dialing lets one goroutine dial while others wait for its result.
	dialing sync.Mutex
	mutex   sync.Mutex
	current *connection
	waiting map[bulrushchute.AttemptID]waiter
}

func (p *dataPeer) connect(ctx context.Context) (*connection, error) {
	if connection := p.open(); connection != nil {
		return connection, nil
	}
	p.dialing.Lock()
	defer p.dialing.Unlock()
	if connection := p.open(); connection != nil {
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
		return p.receive(ctx, connection)
	})
	return connection, nil
}

func (p *dataPeer) open() *connection {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.current == nil || p.current.isClosed() {
		return nil
	}
	return p.current
}

func (p *dataPeer) receive(ctx context.Context, connection *connection) error {
	defer p.failAll(connection)
	return connection.read(ctx, p.deliver)
}

// deliver passes a reply to its attempt. Replies to attempts that have ended
// are dropped.
func (p *dataPeer) deliver(frame Frame) {
	if frame.Reply == nil {
		return
	}
	p.mutex.Lock()
	waiting, exists := p.waiting[frame.Reply.ID]
	delete(p.waiting, frame.Reply.ID)
	p.mutex.Unlock()
	if !exists {
		p.client.late.Add(1)
		return
	}
	waiting.reply <- *frame.Reply
}

// failAll ends the attempts that were sent on a connection that is now lost.
func (p *dataPeer) failAll(connection *connection) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for id, w := range p.waiting {
		if w.connection == connection {
			delete(p.waiting, id)
			close(w.reply)
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
	p.waiting[attempt.ID] = waiter{connection: connection, reply: reply}
	p.mutex.Unlock()
	if err := p.send(connection, Frame{Attempt: &attempt}); err != nil {
		p.forget(attempt.ID)
		return bulrushchute.Reply{}, err
	}
	return p.await(ctx, connection, attempt.ID, reply)
}

// send writes with a timeout of its own and not with the caller's context,
// because a write cut short by a context ends the connection for everyone.
func (p *dataPeer) send(connection *connection, frame Frame) error {
	ctx, cancel := context.WithTimeout(p.client.context, writeTimeout)
	defer cancel()
	err := connection.write(ctx, frame)
	var malformed *FrameError
	if errors.As(err, &malformed) {
		return &bulrushchute.NotSentError{Address: p.address, Cause: err}
	}
	if err != nil {
		connection.close()
		return &bulrushchute.NoReplyError{Address: p.address, Cause: err}
	}
	return nil
}

func (p *dataPeer) await(ctx context.Context, connection *connection, id bulrushchute.AttemptID, replies <-chan bulrushchute.Reply) (bulrushchute.Reply, error) {
	select {
	case reply, whole := <-replies:
		if !whole {
			return bulrushchute.Reply{}, &bulrushchute.NoReplyError{Address: p.address, Cause: errors.New("connection lost")}
		}
		return p.verify(reply)
	case <-ctx.Done():
		p.forget(id)
		_ = p.send(connection, Frame{Cancel: &id})
		return bulrushchute.Reply{}, &bulrushchute.NoReplyError{Address: p.address, Cause: ctx.Err()}
	}
}

func (p *dataPeer) verify(reply bulrushchute.Reply) (bulrushchute.Reply, error) {
	if reply.Answer == nil {
		return reply, nil
	}
	if err := Verify(*reply.Answer); err != nil {
		return bulrushchute.Reply{}, &bulrushchute.NoReplyError{Address: p.address, Cause: err}
	}
	return reply, nil
}

func (p *dataPeer) forget(id bulrushchute.AttemptID) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.waiting, id)
}

// Send implements bulrushchute.Transport.
func (c *Client) Send(to bulrushchute.Address, message bulrushchute.Control) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	queue, exists := c.control[to]
	if !exists {
		queue = make(chan Frame, controlQueue)
		c.control[to] = queue
		c.tasks.Start(c.context, "control", func(ctx context.Context) error {
			return c.sendControl(ctx, to, queue)
		})
	}
	select {
	case queue <- Frame{Control: &message}:
	default:
		c.dropped.Add(1)
	}
}

// sendControl writes a peer's control messages until the peer is no longer
// used. A message that meets a broken connection is lost.
func (c *Client) sendControl(ctx context.Context, to bulrushchute.Address, queue <-chan Frame) error {
	var connection *connection
	idle := time.NewTimer(controlIdle)
	defer idle.Stop()
	for {
		select {
		case <-ctx.Done():
			c.closeControl(to, connection)
			return nil
		case <-idle.C:
			c.closeControl(to, connection)
			return nil
		case frame := <-queue:
			idle.Reset(controlIdle)
			connection = c.writeControl(ctx, to, connection, frame)
		}
	}
}

func (c *Client) closeControl(to bulrushchute.Address, connection *connection) {
	c.mutex.Lock()
	delete(c.control, to)
	c.mutex.Unlock()
	if connection != nil {
		connection.close()
	}
}

func (c *Client) writeControl(ctx context.Context, to bulrushchute.Address, current *connection, frame Frame) *connection {
	if current == nil || current.isClosed() {
		dialed, err := c.dial(ctx, to)
		if err != nil {
			return nil
		}
		current = dialed
		// Peers send nothing on a control connection; reading it notices its loss.
		c.tasks.Start(c.context, "control reader", func(ctx context.Context) error {
			return dialed.read(ctx, func(Frame) {})
		})
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if err := current.write(ctx, frame); err != nil {
		current.close()
		return nil
	}
	return current
}
