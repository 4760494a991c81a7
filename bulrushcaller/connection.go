package bulrushcaller

import (
	"bufio"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushmemory"
	"bulrushchute.example/bulrushchute/bulrushtask"
)

const (
	// parserBufferBytes is the size of the parser's buffer.
	parserBufferBytes = 4 << 10
	// lingerTimeout is how long the caller may take to read the last response.
	// Closing a connection with unread bytes resets it, which can destroy a
	// response that is still on its way.
	lingerTimeout = 500 * time.Millisecond
	// handshakeTimeout bounds a TLS handshake.
	handshakeTimeout = 10 * time.Second
)

// connection is one connection of a caller. Its goroutines are the pump, which
// reads from the socket; the parser, which starts the requests; the handlers; and
// the responder, which sends the responses in order.
type connection struct {
	server *Server
	socket net.Conn
	input  *input
	reader *bufio.Reader
	// cancel ends the contexts of all requests.
	cancel context.CancelFunc
	tasks  *bulrushtask.Group
	tls    *tls.ConnectionState
	// responses holds the responses of the requests that were started, oldest
	// first. Its capacity bounds the requests that are read ahead.
	responses chan *response
	// head is the one that the parser reads. It keeps the buffer for the next one.
	head head

	mutex sync.Mutex
	// parsing is set from the first byte of a request until it is started.
	parsing bool
	// headReadAt is when the head of the request that is being parsed was read, 0 before.
	headReadAt bulrushchute.Millis
	// idleSince is when the connection was opened or the last response was sent, and
	// overdue is set once it has been found idle for too long.
	idleSince bulrushchute.Millis
	overdue   bool
	// started and finished count the requests, and aheadBytes the bytes of the
	// bodies of those in between.
	started    int
	finished   int
	aheadBytes int
	// sent counts the requests whose response is written, or cannot be written any
	// more. A large response to a caller that reads slowly is finished long before.
	sent int
	// stopped is set when no further request may be started.
	stopped bool
}

func newConnection(server *Server, socket net.Conn, cancel context.CancelFunc) *connection {
	in := newInput()
	return &connection{
		server: server, socket: socket, input: in, cancel: cancel,
		reader:    bufio.NewReaderSize(in, parserBufferBytes),
		tasks:     bulrushtask.NewGroup(nil),
		responses: make(chan *response, server.settings.ReadAheadRequests),
		idleSince: server.clock.Now(),
	}
}

// serve serves requests until the connection ends.
func (c *connection) serve(ctx context.Context) {
	defer c.tasks.Wait()
	defer func() { _ = c.socket.Close() }()
	if err := c.handshake(ctx); err != nil {
		rejectPlainText(err)
		c.report(err.Error())
		return
	}
	pumpEnded := make(chan struct{})
	c.tasks.Start(ctx, "pump", func(context.Context) error {
		defer close(pumpEnded)
		err := c.input.pump(c.socket)
		// The caller has gone, or serve has closed the socket.
		c.cancel()
		return err
	})
	c.tasks.Start(ctx, "parser", func(ctx context.Context) error {
		defer close(c.responses)
		return c.parse(ctx)
	})
	c.respond()
	c.input.discard()
	c.linger(pumpEnded)
}

// handshake completes the TLS handshake, if the connection uses TLS.
func (c *connection) handshake(ctx context.Context) error {
	secured, ok := c.socket.(*tls.Conn)
	if !ok {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	if err := secured.HandshakeContext(ctx); err != nil {
		return err
	}
	state := secured.ConnectionState()
	c.tls = &state
	return nil
}

// rejectPlainText answers a caller that does not use TLS.
func rejectPlainText(err error) {
	var malformed tls.RecordHeaderError
	if errors.As(err, &malformed) && malformed.Conn != nil {
		// The connection is closed in any case.
		_, _ = malformed.Conn.Write((&requestError{status: http.StatusBadRequest}).response().encode(true))
	}
}

// linger closes the sending side and waits until the caller has closed its own.
func (c *connection) linger(pumpEnded <-chan struct{}) {
	if halfCloser, ok := c.socket.(interface{ CloseWrite() error }); ok && halfCloser.CloseWrite() == nil {
		timer := time.NewTimer(lingerTimeout)
		defer timer.Stop()
		select {
		case <-pumpEnded:
		case <-timer.C:
		}
	}
}

// closeIfIdle closes the connection if it has no request and no response to send.
func (c *connection) closeIfIdle() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.idle() {
		c.close()
	}
}

// idle reports whether the connection has no request and no response to send. The mutex is
// held.
func (c *connection) idle() bool {
	return c.started == c.sent && !c.parsing && c.input.empty()
}

// close closes the socket. The mutex is held.
func (c *connection) close() {
	c.stopped = true
	_ = c.socket.Close()
}

// closeIfOverdue closes the connection if it is idle for longer than a time, and was found
// to be so before: a request may have arrived while this process did not run.
func (c *connection) closeIfOverdue(now, timeout bulrushchute.Millis) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	overdue := c.idle() && now-c.idleSince > timeout
	if overdue && c.overdue {
		c.close()
	}
	c.overdue = overdue
}

// evictionRank orders connections by how little is lost if they are closed in favour of
// another one.
type evictionRank int

const (
	// neverUsed connections have not had a whole head.
	neverUsed evictionRank = iota
	// idleAgain connections have had a response.
	idleAgain
	// slowBody connections have a request whose body takes longer than slowBodyAge.
	slowBody
	notEvictable
)

// slowBodyAge is how long a body may take when connections are short.
const slowBodyAge = 2 * bulrushchute.Second

// evictionRank returns the rank of the connection, and the time that orders connections of
// the same rank.
func (c *connection) evictionRank(now bulrushchute.Millis) (evictionRank, bulrushchute.Millis) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	switch {
	case c.started != c.sent:
		return notEvictable, 0
	case c.headReadAt > 0:
		if now-c.headReadAt < slowBodyAge {
			return notEvictable, 0
		}
		return slowBody, c.headReadAt
	case !c.input.empty():
		return notEvictable, 0
	case c.sent > 0:
		return idleAgain, c.idleSince
	default:
		return neverUsed, c.idleSince
	}
}

// evict closes the connection if it still has the rank. A request whose body is being read
// is rejected first; evict returns false then.
func (c *connection) evict(rank evictionRank) bool {
	if rank == slowBody {
		c.report("the body of its request is slow, and the connections are used up")
		c.input.fail(errBodyEvicted)
		return false
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.started != c.sent || c.headReadAt > 0 {
		return false
	}
	c.report("it has no request, and the connections are used up")
	c.close()
	return true
}

// report reports a connection that was closed, or will be, because of its caller.
func (c *connection) report(reason string) {
	if c.server.OnRejected != nil {
		c.server.OnRejected(c.socket.RemoteAddr().String(), reason)
	}
}

// parse reads requests and starts them, until the connection ends or must not be
// used further.
func (c *connection) parse(ctx context.Context) error {
	var previous *response
	for {
		if _, err := c.reader.Peek(1); err != nil {
			return err
		}
		if !c.beginParsing() {
			return nil
		}
		next, err := c.readRequest(ctx, previous)
		c.head.reset()
		var rejected *requestError
		switch {
		case errors.As(err, &rejected):
			c.report(rejected.Error())
			next = rejected.response()
		case err != nil:
			c.endParsing()
			return err
		}
		sideBySide := previous != nil && previous.runsAhead && next.runsAhead
		if previous != nil && !sideBySide {
			previous.wait(ctx)
		}
		if ctx.Err() != nil || !c.start(ctx, next) {
			next.release()
			return ctx.Err()
		}
		if next.last {
			return nil
		}
		previous = next
	}
}

// beginParsing reports whether another request may be read, and keeps closeIfIdle
// from closing the connection meanwhile.
func (c *connection) beginParsing() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.parsing = !c.stopped
	c.headReadAt = 0
	return c.parsing
}

func (c *connection) endParsing() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.parsing, c.headReadAt = false, 0
}

// start passes the request to the handler, or returns false if the connection
// takes no further request. The request then counts as unread.
func (c *connection) start(ctx context.Context, next *response) bool {
	if !c.countStart(next) {
		return false
	}
	c.responses <- next
	if next.status != 0 {
		close(next.done)
		return true
	}
	c.tasks.Start(ctx, "request", func(context.Context) error {
		defer close(next.done)
		next.serve(c.server.handler)
		return nil
	})
	return true
}

// countStart counts a request that is about to be started, unless the connection
// takes no further one.
func (c *connection) countStart(next *response) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.parsing, c.headReadAt = c.reader.Buffered() > 0, 0
	if c.stopped {
		return false
	}
	c.started++
	c.aheadBytes += next.bodyBytes
	return true
}

// readRequest reads the next request with its whole body, and returns the response to fill
// in.
func (c *connection) readRequest(ctx context.Context, previous *response) (*response, error) {
	memory := newReservation(c.server.settings.Memory, func() { c.input.fail(errBodyEvicted) })
	limits := c.server.settings.Limits()
	next, err := c.readWithin(ctx, limits, memory, previous)
	if err != nil {
		memory.release()
		return nil, err
	}
	next.share = memory.finish()
	return next, nil
}

func (c *connection) readWithin(ctx context.Context, limits Limits, memory *reservation, previous *response) (*response, error) {
	request, err := c.readHeader(ctx, limits, memory, previous)
	if err != nil {
		return nil, err
	}
	arrivedAt := c.server.clock.Now()
	var body []byte
	var rejected *BodyError
	if request.Body != http.NoBody && request.Body != nil {
		body, err = c.readBody(ctx, request, limits.BodyBytes, memory, previous)
		if err != nil && !errors.As(err, &rejected) {
			return nil, err
		}
	}
	request.Body = newRequestBody(body, err)
	request.RemoteAddr = c.socket.RemoteAddr().String()
	request.TLS = c.tls
	next := newResponse(request.WithContext(bulrushmemory.WithShare(withArrival(ctx, arrivedAt), memory.share)))
	next.runsAhead = c.server.handler.RunsAhead(next.request)
	next.bodyBytes = len(body)
	next.last = request.Close || !request.ProtoAtLeast(1, 1) || rejected != nil
	return next, nil
}

// readHeader reads the request line and the headers of a request, and parses them once there
// is memory for that.
func (c *connection) readHeader(ctx context.Context, limits Limits, memory *reservation, previous *response) (*http.Request, error) {
	timeout := time.AfterFunc(limits.HeaderTimeout.Duration(), func() { _ = c.socket.Close() })
	err := c.readHead(ctx, limits.HeaderBytes, memory)
	timeout.Stop()
	memory.pause()
	var evicted *BodyError
	switch {
	case errors.As(err, &evicted):
		return nil, &requestError{status: evicted.Status, retryAfter: evicted.RetryAfter, cause: err}
	case err != nil:
		return nil, err
	}
	c.mutex.Lock()
	c.headReadAt = c.server.clock.Now()
	c.mutex.Unlock()
	if err := c.reserve(ctx, c.head.cost(), memory, previous); err != nil {
		return nil, rejectForMemory(err)
	}
	request, err := parseHead(c.head.bytes)
	if err != nil {
		return nil, err
	}
	if rejected := checkRequest(request); rejected != nil {
		return nil, rejected
	}
	return request, nil
}

// reserve reserves the memory that a request takes. One that is read ahead and for which
// there is no room waits for the responses before it.
func (c *connection) reserve(ctx context.Context, bytes int64, memory *reservation, previous *response) error {
	if previous != nil && !previous.isSent() && !memory.tryWithoutAllowance(bytes) {
		previous.wait(ctx)
	}
	return memory.ensure(ctx, bytes)
}

// awaitBytes waits until the bodies that were read ahead are within their limit.
func (c *connection) awaitBytes(ctx context.Context, previous *response) {
	c.mutex.Lock()
	exceeded := c.aheadBytes >= c.server.settings.ReadAheadBytes
	c.mutex.Unlock()
	if exceeded && previous != nil {
		previous.wait(ctx)
	}
}

// sendContinue asks the caller for the body of a request. The interim response
// must not come before the responses to earlier requests.
func (c *connection) sendContinue(ctx context.Context, previous *response) error {
	if previous != nil {
		previous.wait(ctx)
	}
	_, err := io.WriteString(c.socket, "HTTP/1.1 100 Continue\r\n\r\n")
	return err
}

// respond sends the responses in the order of their requests. It returns after the
// last one.
func (c *connection) respond() {
	failed := false
	for next := range c.responses {
		<-next.done
		closing := c.finish(next)
		if !failed {
			_, err := c.socket.Write(next.encode(closing))
			failed = err != nil
		}
		c.countSent()
		next.release()
		close(next.sent)
		if closing || failed {
			c.stop()
		}
	}
}

// finish counts a response, and reports whether the connection ends after it. If a
// response asks for that while requests behind it have been started, the
// connection ends after the last of these.
func (c *connection) finish(next *response) bool {
	closing := c.server.isClosing() || next.wantsClose()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.finished++
	c.aheadBytes -= next.bodyBytes
	c.stopped = c.stopped || closing
	return c.stopped && c.finished == c.started
}

func (c *connection) countSent() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.sent++
	c.idleSince = c.server.clock.Now()
}

// stop ends the parser.
func (c *connection) stop() {
	c.mutex.Lock()
	c.stopped = true
	c.mutex.Unlock()
	c.input.end()
}

type arrivalKey struct{}

func withArrival(ctx context.Context, at bulrushchute.Millis) context.Context {
	return context.WithValue(ctx, arrivalKey{}, at)
}

// ArrivedAt returns when the server read the headers of a request, and false for a
// request of another server. The time that the request then waited for others of
// its connection counts towards its deadline.
func ArrivedAt(ctx context.Context) (bulrushchute.Millis, bool) {
	at, ok := ctx.Value(arrivalKey{}).(bulrushchute.Millis)
	return at, ok
}
