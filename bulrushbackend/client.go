package bulrushbackend

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"bulrushchute.example/bulrushchute"
)

const (
	// dialTimeout bounds opening a connection to the backend server on the
	// same instance, which takes about a millisecond.
	dialTimeout = 500 * time.Millisecond
	// maxForeign bounds the answers to other requests that are skipped on one
	// connection before it is given up.
	maxForeign = 4
)

// Exchange is one request to a backend server.
type Exchange struct {
	Method string
	// Target is the path with its query, as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody is set when the request has a body, be it empty.
	HasBody    bool
	Idempotent bool
	// Attempt is the attempt that the answer must belong to, nil for a health check.
	Attempt *bulrushchute.Attempt
}

// Answer is the whole answer of a backend server.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	Report bulrushchute.BackendReport
}

// Error reports an exchange without a whole answer.
type Error struct {
	// Sent is false only if no byte of the request can have reached the server.
	Sent   bool
	Reason bulrushchute.Reason
	Cause  error
}

// Error implements error.
func (e *Error) Error() string {
	return "exchange with backend server: " + string(e.Reason) + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Cause
}

// Settings bound a client.
type Settings struct {
	Address bulrushchute.Address
	// Connections bounds the open connections.
	Connections int
	// MaxBodyBytes bounds the body of an answer.
	MaxBodyBytes int64
	Protocol     bulrushchute.BackendProtocol
}

// Client keeps connections to one backend server. It is safe for concurrent use.
type Client struct {
	settings Settings
	dialer   net.Dialer

	mutex  sync.Mutex
	idle   []*connection
	open   int
	closed bool
}

// NewClient returns a client that has no connection yet.
func NewClient(settings Settings) *Client {
	return &Client{settings: settings, dialer: net.Dialer{Timeout: dialTimeout}}
}

// Connections returns the bound on open connections.
func (c *Client) Connections() int {
	return c.settings.Connections
}

// Close closes idle connections now and the others when their exchange ends.
func (c *Client) Close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.closed = true
	for _, kept := range c.idle {
		_ = kept.Close()
	}
	c.open -= len(c.idle)
	c.idle = nil
}

// Do sends a request and reads the whole answer. The error is an *Error. Ending
// the context closes the connection, which tells the server to stop.
func (c *Client) Do(ctx context.Context, exchange Exchange) (Answer, error) {
	conn, err := c.take(ctx, exchange.Idempotent)
	if err != nil {
		return Answer{}, &Error{Reason: reasonOf(ctx, err), Cause: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	answer, reusable, err := c.exchange(conn, exchange)
	if !stop() {
		reusable = false
	}
	c.give(conn, reusable)
	if err != nil {
		return Answer{}, &Error{Sent: true, Reason: reasonOf(ctx, err), Cause: err}
	}
	return answer, nil
}

func reasonOf(ctx context.Context, err error) bulrushchute.Reason {
	var tooLarge *http.MaxBytesError
	var malformed *answerError
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return bulrushchute.ReasonDeadline
	case ctx.Err() != nil:
		return bulrushchute.ReasonCancelled
	case errors.As(err, &tooLarge):
		return bulrushchute.ReasonTooLarge
	case errors.As(err, &malformed):
		return bulrushchute.ReasonTruncated
	default:
		return bulrushchute.ReasonConnectionLost
	}
}

// errTooManyConnections is returned without opening a connection.
var errTooManyConnections = errors.New("all connections are in use")

// take returns a kept connection that is still usable, or a new one.
func (c *Client) take(ctx context.Context, idempotent bool) (*connection, error) {
	if kept := c.takeIdle(idempotent); kept != nil {
		return kept, nil
	}
	if err := c.reserve(); err != nil {
		return nil, err
	}
	socket, err := c.dialer.DialContext(ctx, "tcp", string(c.settings.Address))
	if err != nil {
		c.release()
		return nil, err
	}
	return newConnection(socket), nil
}

// takeIdle returns the connection that was used last, so that those that are
// not needed reach their idle limit.
func (c *Client) takeIdle(idempotent bool) *connection {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	for len(c.idle) > 0 {
		last := len(c.idle) - 1
		kept := c.idle[last]
		if kept.usable(now, idempotent) {
			c.idle = c.idle[:last]
			return kept
		}
		if !idempotent && kept.usable(now, true) {
			// Good enough for other requests; the older ones are no better.
			return nil
		}
		c.idle = c.idle[:last]
		c.open--
		_ = kept.Close()
	}
	return nil
}

func (c *Client) reserve() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for c.open >= c.settings.Connections && len(c.idle) > 0 {
		_ = c.idle[0].Close()
		c.idle = c.idle[1:]
		c.open--
	}
	if c.open >= c.settings.Connections {
		return errTooManyConnections
	}
	c.open++
	return nil
}

func (c *Client) release() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.open--
}

// give keeps a connection for the next request, or closes it.
func (c *Client) give(conn *connection, reusable bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !reusable || c.closed {
		c.open--
		_ = conn.Close()
		return
	}
	conn.idleSince = time.Now()
	c.idle = append(c.idle, conn)
}

// exchange writes the request and reads its answer. Writing and reading go on
// at the same time, because a server may answer before it has read the body.
func (c *Client) exchange(conn *connection, exchange Exchange) (Answer, bool, error) {
	request, err := encodeRequest(exchange)
	if err != nil {
		return Answer{}, false, err
	}
	if len(request) <= writeAtOnce {
		if _, err := conn.Write(request); err != nil {
			// The server may have answered before it closed the connection.
			answer, _, readErr := c.readAnswer(conn, exchange)
			if readErr != nil {
				return Answer{}, false, errors.Wrap(err, "write request")
			}
			return answer, false, nil
		}
		return c.readAnswer(conn, exchange)
	}
	written := make(chan error, 1)
	go writeRequest(conn, request, written)
	answer, reusable, err := c.readAnswer(conn, exchange)
	if err != nil {
		_ = conn.Close()
	}
	if writeErr := <-written; writeErr != nil {
		reusable = false
	}
	return answer, reusable, err
}

// writeRequest reports its end on a channel. Closing the connection ends it.
func writeRequest(conn *connection, request []byte, written chan<- error) {
	_, err := conn.Write(request)
	written <- err
}

// readAnswer reads answers until one belongs to the request.
func (c *Client) readAnswer(conn *connection, exchange Exchange) (Answer, bool, error) {
	for range maxForeign {
		answer, last, err := c.readOne(conn, exchange)
		if err != nil {
			return Answer{}, false, err
		}
		if !answer.Report.Mismatched {
			conn.noteKeepAlive(answer.Header)
			return answer, !last && conn.reader.Buffered() == 0, nil
		}
		if last {
			break
		}
	}
	return Answer{}, false, &answerError{problem: "answers belong to other requests"}
}

// readOne reads one whole answer. It also reports whether it is the
// connection's last one.
func (c *Client) readOne(conn *connection, exchange Exchange) (Answer, bool, error) {
	response, err := readResponse(conn.reader, exchange.Method)
	if err != nil {
		return Answer{}, false, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := c.readBody(response)
	if err != nil {
		return Answer{}, false, err
	}
	report := c.settings.Protocol.ReadReport(exchange.Attempt, response.StatusCode, response.Header)
	return Answer{Status: response.StatusCode, Header: response.Header, Body: body, Report: report}, response.Close, nil
}

func (c *Client) readBody(response *http.Response) ([]byte, error) {
	if endsWithConnection(response) && !c.settings.Protocol.AcceptsCloseDelimited() {
		return nil, &answerError{problem: "answer has neither a length nor chunks"}
	}
	body, err := io.ReadAll(http.MaxBytesReader(nil, response.Body, c.settings.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	if err != nil && !errors.As(err, &tooLarge) {
		return nil, &answerError{problem: "answer ends early: " + err.Error()}
	}
	return body, err
}
