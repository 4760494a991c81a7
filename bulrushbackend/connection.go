package bulrushbackend

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"bulrushchute.example/bulrushchute"
)

const (
	// readBufferBytes is large enough for the header of an ordinary answer.
	readBufferBytes = 4 << 10
	// defaultIdleTimeout applies when the server sends no Keep-Alive timeout.
	// Common servers close idle connections after 5 s or more.
	defaultIdleTimeout = 4 * time.Second
	// maxRefusedIDs is the number of refusals after which a connection is closed.
	maxRefusedIDs = 32
	// keepAliveFraction is the fraction of the server's Keep-Alive timeout during
	// which a connection is reused, so that a request does not race with the
	// server closing the connection.
	keepAliveFraction = 0.7
	// maxIdleNonIdempotent is the longest idle time after which a connection is
	// reused for a non-idempotent request. A server may drop idle connections
	// without notice, and a request lost in that way cannot be retried.
	maxIdleNonIdempotent = time.Second
)

// connection is a connection to the backend server. It carries one request at
// a time, without pipelining.
type connection struct {
	net.Conn
	header *headerLimit
	reader *bufio.Reader
	// idleSince is when the connection was returned to the pool. It is reusable
	// for idleTimeout from then on.
	idleSince   time.Time
	idleTimeout time.Duration
	// refused are the IDs of requests that the server refused on this connection. A
	// faulty server may repeat such a refusal at any time.
	refused []string
}

// observeRefusal records a refusal of the request with an ID, and reports whether the
// connection may carry other requests: a repetition of the refusal must not pass for the
// answer to one of them.
func (c *connection) observeRefusal(id string, report bulrushchute.BackendReport) bool {
	c.refused = append(c.refused, id)
	return !report.Unidentified && len(c.refused) < maxRefusedIDs
}

// hasRefused reports whether the server refused a request with this ID here.
func (c *connection) hasRefused(attempt *bulrushchute.Attempt) bool {
	return attempt != nil && slices.Contains(c.refused, attempt.RequestID)
}

func newConnection(socket net.Conn) *connection {
	header := &headerLimit{source: socket}
	return &connection{Conn: socket, header: header, reader: bufio.NewReaderSize(header, readBufferBytes), idleTimeout: defaultIdleTimeout}
}

// HeaderTooLargeError reports an answer whose status line and header, with those of
// the interim answers before it, exceed the limit.
type HeaderTooLargeError struct {
	Limit int
}

// Error implements error.
func (e *HeaderTooLargeError) Error() string {
	return "answer header is larger than " + strconv.Itoa(e.Limit) + " bytes"
}

// headerLimit limits the bytes that are read from a connection while a header is
// parsed. Bytes of the body that arrive together with it are permitted.
type headerLimit struct {
	source io.Reader
	// limit is that of the header being read, 0 for none.
	limit     int
	remaining int
}

// begin limits the bytes read until end is called.
func (hl *headerLimit) begin(limit int) {
	hl.limit, hl.remaining = limit, limit+readBufferBytes
}

func (hl *headerLimit) end() {
	hl.limit = 0
}

// Read implements io.Reader.
func (hl *headerLimit) Read(buffer []byte) (int, error) {
	if hl.limit == 0 {
		return hl.source.Read(buffer)
	}
	if hl.remaining <= 0 {
		return 0, &HeaderTooLargeError{Limit: hl.limit}
	}
	n, err := hl.source.Read(buffer[:min(len(buffer), hl.remaining)])
	hl.remaining -= n
	return n, err
}

// usable reports whether the idle connection may carry another request.
func (c *connection) usable(now time.Time, idempotent bool) bool {
	idle := now.Sub(c.idleSince)
	if idle > c.idleTimeout || (!idempotent && idle > maxIdleNonIdempotent) {
		return false
	}
	return c.reader.Buffered() == 0 && c.noPendingData()
}

// noPendingData reports whether nothing has arrived on the idle connection:
// neither data, which would belong to no request, nor the end of the stream.
// It peeks at the socket without blocking.
func (c *connection) noPendingData() bool {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	noPendingData := false
	err = raw.Read(func(descriptor uintptr) bool {
		var buffer [1]byte
		_, _, err := syscall.Recvfrom(int(descriptor), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		noPendingData = err == syscall.EAGAIN
		return true
	})
	return err == nil && noPendingData
}

// applyKeepAlive sets the idle timeout from the timeout parameter of the
// server's Keep-Alive header, if there is one.
func (c *connection) applyKeepAlive(header http.Header) {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			c.idleTimeout = time.Duration(float64(seconds) * keepAliveFraction * float64(time.Second))
		}
	}
}
