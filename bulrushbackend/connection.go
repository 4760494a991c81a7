package bulrushbackend

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	// readBuffer holds the header lines of an ordinary answer.
	readBuffer = 4 << 10
	// keptIdle is how long a connection is kept when the server names no time.
	// Common servers close idle connections after 5 s or more.
	keptIdle = 4 * time.Second
	// idleMargin is the part of the server's stated idle time during which a
	// connection is still used, so that a request does not cross its close.
	idleMargin = 0.7
	// onceIdle is the longest idle time after which a non-idempotent request
	// takes a kept connection. A server may drop idle connections without
	// notice, and a request lost in that way cannot be repeated.
	onceIdle = time.Second
)

// connection is one connection to the backend server. It carries one request
// at a time.
type connection struct {
	net.Conn
	reader *bufio.Reader
	// idleSince and idleLimit tell how long the connection may still be used.
	idleSince time.Time
	idleLimit time.Duration
}

func newConnection(socket net.Conn) *connection {
	return &connection{Conn: socket, reader: bufio.NewReaderSize(socket, readBuffer), idleLimit: keptIdle}
}

// usable reports whether the connection may carry another request.
func (c *connection) usable(now time.Time, idempotent bool) bool {
	idle := now.Sub(c.idleSince)
	if idle > c.idleLimit || (!idempotent && idle > onceIdle) {
		return false
	}
	return c.reader.Buffered() == 0 && c.quiet()
}

// quiet reports whether nothing has arrived on the idle connection: neither
// bytes, which belong to no request, nor its end.
func (c *connection) quiet() bool {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(descriptor uintptr) bool {
		var buffer [1]byte
		_, _, err := syscall.Recvfrom(int(descriptor), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}

// noteKeepAlive takes in the idle time that the server states.
func (c *connection) noteKeepAlive(header http.Header) {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			c.idleLimit = time.Duration(float64(seconds) * idleMargin * float64(time.Second))
		}
	}
}
