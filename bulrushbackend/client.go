package bulrushbackend

import (
	"bytes"
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushmemory"
	"bulrushchute.example/bulrushchute/bulrushresponse"
)

const (
	// dialTimeout bounds a dial to the backend server on the same instance,
	// which takes about a millisecond.
	dialTimeout = 500 * time.Millisecond
	// maxMismatchedAnswers is the number of answers to other requests after which
	// a request fails and its connection is closed.
	maxMismatchedAnswers = 4
	// maxInterimAnswers is the number of interim answers (1xx) before a final one
	// after which a request fails.
	maxInterimAnswers = 16
	// smallBodyBytes is the size up to which a body needs no reservation.
	smallBodyBytes = 64 << 10
	// DefaultMaxHeaderBytes is used if Settings.MaxHeaderBytes is 0.
	DefaultMaxHeaderBytes = 64 << 10
)

// Request is an HTTP request to a backend server.
type Request struct {
	Method string
	// Target is the request target, path and query, exactly as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody is set when the request has a body, even an empty one.
	HasBody bool
	// Idempotent lets the request use a connection that has been idle for longer
	// than maxIdleNonIdempotent.
	Idempotent bool
	// Attempt is the attempt that the answer must match, nil for a health check. The
	// answer to a health check is limited to smallBodyBytes.
	Attempt *bulrushchute.Attempt
}

// Answer is the whole HTTP response of a backend server.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	Report bulrushchute.BackendReport
	// closeDelimited is set if the body ended with the connection.
	closeDelimited bool
}

// Error reports a request for which no whole answer was received.
type Error struct {
	// Sent is false only if no byte of the request can have reached the server.
	Sent   bool
	Reason bulrushchute.Reason
	Cause  error
}

// Error implements error.
func (e *Error) Error() string {
	return "request to backend server: " + string(e.Reason) + ": " + e.Cause.Error()
}

// Unwrap returns the cause, for errors.Is and errors.As.
func (e *Error) Unwrap() error {
	return e.Cause
}

// Settings configure a Client.
type Settings struct {
	Address bulrushchute.Address
	// Connections is the maximum number of open connections.
	Connections int
	// MaxHeaderBytes is the maximum size of an answer's status line and header, with
	// those of the interim answers before it. 0 selects DefaultMaxHeaderBytes.
	MaxHeaderBytes int
	// MaxBodyBytes is the maximum size of an answer's body.
	MaxBodyBytes int64
	// Memory limits the bodies that are larger than smallBodyBytes together, nil for no
	// limit. A bulrushmemory.Hold in the request's context keeps the part of an answer
	// until that has been passed on.
	Memory   *bulrushmemory.Budget
	Protocol bulrushchute.BackendProtocol
}

// Client sends requests to one backend server over a pool of keep-alive
// connections. It is safe for concurrent use.
type Client struct {
	settings Settings
	dialer   net.Dialer

	mutex   sync.Mutex
	idle    []*connection
	numOpen int
	closed  bool
}

// NewClient returns a client. It dials when the first request needs a connection.
func NewClient(settings Settings) *Client {
	settings.MaxHeaderBytes = cmp.Or(settings.MaxHeaderBytes, DefaultMaxHeaderBytes)
	return &Client{settings: settings, dialer: net.Dialer{Timeout: dialTimeout}}
}

// Connections returns the maximum number of open connections.
func (c *Client) Connections() int {
	return c.settings.Connections
}

// Close closes idle connections now and the others when their requests end.
func (c *Client) Close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.closed = true
	for _, conn := range c.idle {
		_ = conn.Close()
	}
	c.numOpen -= len(c.idle)
	c.idle = nil
}

// Do sends a request and reads the whole answer. The error is an *Error.
// When the context ends, the connection is closed, which tells the server to
// stop working on the request.
func (c *Client) Do(ctx context.Context, request Request) (Answer, error) {
	conn, err := c.getConn(ctx, request)
	if err != nil {
		return Answer{}, &Error{Reason: errorReason(ctx, err), Cause: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	answer, reusable, err := c.roundTrip(ctx, conn, request)
	if !stop() {
		reusable = false
	}
	c.putConn(conn, reusable)
	if err != nil {
		return Answer{}, &Error{Sent: true, Reason: errorReason(ctx, err), Cause: err}
	}
	return answer, nil
}

func errorReason(ctx context.Context, err error) bulrushchute.Reason {
	var tooLarge *http.MaxBytesError
	var headerTooLarge *HeaderTooLargeError
	var incomplete *answerError
	var malformed *bulrushresponse.MalformedError
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return bulrushchute.ReasonDeadline
	case ctx.Err() != nil:
		return bulrushchute.ReasonCancelled
	case errors.As(err, &tooLarge), errors.As(err, &headerTooLarge):
		return bulrushchute.ReasonTooLarge
	case errors.As(err, &incomplete), errors.As(err, &malformed):
		return bulrushchute.ReasonTruncated
	default:
		return bulrushchute.ReasonConnectionLost
	}
}

// errTooManyConnections is returned when the connection limit is reached.
// Nothing has been dialled then.
var errTooManyConnections = errors.New("all connections are in use")

// getConn returns a usable idle connection, or dials a new one.
func (c *Client) getConn(ctx context.Context, request Request) (*connection, error) {
	if conn := c.getIdleConn(request); conn != nil {
		return conn, nil
	}
	if err := c.reserveConn(); err != nil {
		return nil, err
	}
	socket, err := c.dialer.DialContext(ctx, "tcp", string(c.settings.Address))
	if err != nil {
		c.releaseConn()
		return nil, err
	}
	return newConnection(socket), nil
}

// getIdleConn returns the most recently used idle connection, so that surplus
// connections reach their idle timeout. It returns nil if none is usable.
func (c *Client) getIdleConn(request Request) *connection {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	for len(c.idle) > 0 {
		last := len(c.idle) - 1
		conn := c.idle[last]
		if conn.usable(now, request.Idempotent) && !conn.hasRefused(request.Attempt) {
			c.idle = c.idle[:last]
			return conn
		}
		if !request.Idempotent && conn.usable(now, true) && !conn.hasRefused(request.Attempt) {
			// Still usable for idempotent requests. The remaining connections
			// have been idle for longer.
			return nil
		}
		c.idle = c.idle[:last]
		c.numOpen--
		_ = conn.Close()
	}
	return nil
}

// reserveConn counts a connection that is about to be dialled. At the connection
// limit it first closes the connection that has been idle for the longest time.
func (c *Client) reserveConn() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for c.numOpen >= c.settings.Connections && len(c.idle) > 0 {
		_ = c.idle[0].Close()
		c.idle = c.idle[1:]
		c.numOpen--
	}
	if c.numOpen >= c.settings.Connections {
		return errTooManyConnections
	}
	c.numOpen++
	return nil
}

// releaseConn undoes reserveConn after a failed dial.
func (c *Client) releaseConn() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.numOpen--
}

// putConn returns a connection to the pool, or closes it if it is not reusable.
func (c *Client) putConn(conn *connection, reusable bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !reusable || c.closed {
		c.numOpen--
		_ = conn.Close()
		return
	}
	conn.idleSince = time.Now()
	c.idle = append(c.idle, conn)
}

// roundTrip writes the request and reads its answer. It also reports whether
// the connection is reusable. A request larger than maxSyncWriteBytes is
// written and its answer read concurrently, because a server may answer before
// it has read the whole body.
func (c *Client) roundTrip(ctx context.Context, conn *connection, request Request) (Answer, bool, error) {
	data, err := encodeRequest(request)
	if err != nil {
		return Answer{}, false, err
	}
	if len(data) == 1 && len(data[0]) <= maxSyncWriteBytes {
		if _, err := conn.Write(data[0]); err != nil {
			// The server may have answered before it closed the connection, so
			// its answer takes precedence over the write error.
			answer, _, readErr := c.readAnswer(ctx, conn, request)
			if readErr != nil || answer.mayBeCutOff(err) {
				return Answer{}, false, errors.Wrap(err, "write request")
			}
			return answer, false, nil
		}
		return c.readAnswer(ctx, conn, request)
	}
	writeDone := make(chan error, 1)
	go writeRequest(conn, data, writeDone)
	answer, reusable, err := c.readAnswer(ctx, conn, request)
	if err != nil {
		_ = conn.Close()
	}
	if writeErr := <-writeDone; writeErr != nil {
		reusable = false
		if err == nil && answer.mayBeCutOff(writeErr) {
			return Answer{}, false, errors.Wrap(writeErr, "write request")
		}
	}
	return answer, reusable, err
}

// mayBeCutOff reports whether the connection may have been reset before the end of an
// answer that was read without an error while a write of its request failed. The operating
// system reports a reset only once. If the write gets the error, a read returns io.EOF, as
// at the end of a body without a length. A reset after the server's orderly close fails the
// write with EPIPE instead.
func (a Answer) mayBeCutOff(writeErr error) bool {
	return a.closeDelimited && !errors.Is(writeErr, syscall.EPIPE) && !errors.Is(writeErr, net.ErrClosed)
}

// writeRequest writes a request and sends the result on done. Closing the
// connection unblocks it.
func writeRequest(conn *connection, data [][]byte, done chan<- error) {
	for _, part := range data {
		if _, err := conn.Write(part); err != nil {
			done <- err
			return
		}
	}
	done <- nil
}

// readAnswer reads the answer to the request and skips answers to others.
// It also reports whether the connection is reusable.
func (c *Client) readAnswer(ctx context.Context, conn *connection, request Request) (Answer, bool, error) {
	for range maxMismatchedAnswers {
		answer, last, err := c.readNextAnswer(ctx, conn, request)
		if err != nil {
			return Answer{}, false, err
		}
		if !answer.Report.Mismatched {
			conn.applyKeepAlive(answer.Header)
			reusable := !last && conn.reader.Buffered() == 0
			if request.Attempt != nil && (answer.Report.NotRun || answer.Report.Misdirected) {
				reusable = conn.observeRefusal(request.Attempt.RequestID, answer.Report) && reusable
			}
			return answer, reusable, nil
		}
		if last {
			break
		}
	}
	return Answer{}, false, &answerError{problem: "answers belong to other requests"}
}

// readNextAnswer reads one whole answer, to whichever request. It also
// reports whether the server closes the connection after it.
func (c *Client) readNextAnswer(ctx context.Context, conn *connection, request Request) (Answer, bool, error) {
	response, err := readFinalResponse(conn, request.Method, c.settings.MaxHeaderBytes)
	if err != nil {
		return Answer{}, false, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := c.readBody(ctx, response, c.maxBodyBytes(request))
	if err != nil {
		// Otherwise closing the body would read the rest of it.
		_ = conn.Close()
		return Answer{}, false, err
	}
	if err := bulrushresponse.CheckFields(response.Trailer); err != nil {
		return Answer{}, false, err
	}
	report := c.settings.Protocol.ReadReport(request.Attempt, response.StatusCode, response.Header)
	return Answer{
		Status: response.StatusCode, Header: response.Header, Body: body, Report: report, closeDelimited: isCloseDelimited(response),
	}, response.Close, nil
}

func (c *Client) maxBodyBytes(request Request) int64 {
	if request.Attempt == nil {
		return min(c.settings.MaxBodyBytes, smallBodyBytes)
	}
	return c.settings.MaxBodyBytes
}

// readBody reads the body of an answer. From smallBodyBytes on it waits for its part of
// the memory.
func (c *Client) readBody(ctx context.Context, response *http.Response, maxBytes int64) ([]byte, error) {
	if isCloseDelimited(response) && !c.settings.Protocol.AcceptsCloseDelimited() {
		return nil, &answerError{problem: "answer has neither a Content-Length nor chunked encoding"}
	}
	size := response.ContentLength
	if response.Body == http.NoBody {
		size = 0
	}
	if size > maxBytes {
		return nil, &http.MaxBytesError{Limit: maxBytes}
	}
	reader := http.MaxBytesReader(nil, response.Body, maxBytes)
	var body bytes.Buffer
	if c.settings.Memory == nil || maxBytes <= smallBodyBytes || 0 <= size && size <= smallBodyBytes {
		err := readAll(&body, reader, max(0, size))
		return body.Bytes(), err
	}
	if err := readPart(&body, reader, size, smallBodyBytes); err != nil || body.Len() < smallBodyBytes {
		return body.Bytes(), err
	}
	reservation, err := c.readReserved(ctx, &body, reader, size, maxBytes)
	if err != nil {
		return nil, err
	}
	reservation.Shrink(int64(body.Len()))
	bulrushmemory.HoldOf(ctx).Keep(reservation)
	return body.Bytes(), nil
}

// readReserved reads the rest of a body and returns the reservation for it. The size is
// negative if it is unknown.
func (c *Client) readReserved(ctx context.Context, body *bytes.Buffer, reader io.Reader, size, maxBytes int64) (*bulrushmemory.Reservation, error) {
	memory := c.settings.Memory
	if size >= 0 {
		reservation, err := memory.Reserve(ctx, size)
		if err != nil {
			return nil, err
		}
		return releaseOnError(reservation, readAll(body, reader, size-int64(body.Len())))
	}
	reservation, err := memory.ReserveUnknown(ctx)
	if err != nil {
		return nil, err
	}
	err = readPart(body, reader, size, memory.MediumBytes())
	if err == nil && int64(body.Len()) == memory.MediumBytes() {
		err = reservation.Grow(ctx, maxBytes)
		if err == nil {
			err = readAll(body, reader, 0)
		}
	}
	return releaseOnError(reservation, err)
}

func releaseOnError(reservation *bulrushmemory.Reservation, err error) (*bulrushmemory.Reservation, error) {
	if err != nil {
		reservation.Release()
		return nil, err
	}
	return reservation, nil
}

// readPart appends to a buffer until it has the given number of bytes, or to the end of a
// body of the given size.
func readPart(buffer *bytes.Buffer, reader io.Reader, size, until int64) error {
	missing := until - int64(buffer.Len())
	return readAll(buffer, io.LimitReader(reader, missing), min(max(0, size), missing))
}

// readAll appends all bytes of a reader to a buffer, of which it expects the given number.
func readAll(buffer *bytes.Buffer, reader io.Reader, expected int64) error {
	// ReadFrom needs room for a further read to find the end.
	buffer.Grow(int(expected) + bytes.MinRead)
	_, err := buffer.ReadFrom(reader)
	var tooLarge *http.MaxBytesError
	if err != nil && !errors.As(err, &tooLarge) {
		return &answerError{problem: "read answer body: " + err.Error()}
	}
	return err
}
