package bulrushwire

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushresume"
)

// notWrittenError reports a message of which no byte was written.
type notWrittenError struct {
	cause error
}

// Error implements error.
func (e *notWrittenError) Error() string {
	return "not written: " + e.cause.Error()
}

// Unwrap returns the cause.
func (e *notWrittenError) Unwrap() error {
	return e.cause
}

// connection is a WebSocket connection to a peer.
type connection struct {
	socket *websocket.Conn
	// context ends when the node stops. writeTimeout bounds the write of a message, 0
	// for no limit.
	context      context.Context
	writeTimeout time.Duration
	// id identifies the connection at both ends, process the process at the other end.
	// process is empty at the end that accepted the connection, and if the other end
	// cannot resume attempts.
	id      bulrushresume.ConnectionID
	process string
	// acceptsParts is set if the peer accepts bodies in parts.
	acceptsParts bool
	// peer is the address of the other end. onHeldUp is told of messages that were held
	// up, and may be nil.
	peer     bulrushchute.Address
	onHeldUp func(HeldUp)
	// writing has an element while a message is written.
	writing chan struct{}
	// closed is closed when the read loop ends or a write fails. A message that
	// has not been written by then was certainly not sent.
	closed    chan struct{}
	closeOnce sync.Once
}

func newConnection(ctx context.Context, socket *websocket.Conn, id bulrushresume.ConnectionID, peer bulrushchute.Address, onHeldUp func(HeldUp)) *connection {
	socket.SetReadLimit(MaxMessageBytes)
	return &connection{
		socket: socket, context: ctx, id: id, peer: peer, onHeldUp: onHeldUp,
		writing: make(chan struct{}, 1), closed: make(chan struct{}),
	}
}

func (c *connection) isClosed() bool {
	select {
	case <-c.closed:
		return true
	default:
		return false
	}
}

func (c *connection) close() {
	c.closeOnce.Do(func() { close(c.closed) })
	_ = c.socket.CloseNow()
}

// write writes a message. The context bounds only the wait for other messages; when it
// ends, the error is a *notWrittenError. A write that has begun goes on, since ending it
// would close the connection for all attempts that share it.
func (c *connection) write(ctx context.Context, message Message) error {
	data, err := Encode(message)
	if err != nil {
		return err
	}
	begin := time.Now()
	if err := c.lockWriting(ctx); err != nil {
		return &notWrittenError{cause: err}
	}
	defer func() { <-c.writing }()
	c.reportSince(message, StageQueue, begin)
	begin = time.Now()
	defer func() { c.reportSince(message, StageWrite, begin) }()
	writeCtx, cancel := c.writeContext()
	defer cancel()
	return errors.Wrap(c.socket.Write(writeCtx, websocket.MessageBinary, data), "write to peer")
}

func (c *connection) writeContext() (context.Context, context.CancelFunc) {
	if c.writeTimeout > 0 {
		return context.WithTimeout(c.context, c.writeTimeout)
	}
	return context.WithCancel(c.context)
}

// lockWriting waits until the messages that are being written have been.
func (c *connection) lockWriting(ctx context.Context) error {
	select {
	case c.writing <- struct{}{}:
		if err := ctx.Err(); err != nil {
			<-c.writing
			return err
		}
		return nil
	case <-c.closed:
		return net.ErrClosed
	case <-ctx.Done():
		return ctx.Err()
	}
}

// progressInterval is the shortest time between two reports of a message that is still
// arriving.
const progressInterval = 10 * time.Millisecond

// progressReader reads a message and reports that it is still arriving.
type progressReader struct {
	source     io.Reader
	onProgress func()
	reportedAt time.Time
}

// Read implements io.Reader.
func (pr *progressReader) Read(buffer []byte) (int, error) {
	n, err := pr.source.Read(buffer)
	if now := time.Now(); n > 0 && now.Sub(pr.reportedAt) >= progressInterval {
		pr.reportedAt = now
		pr.onProgress()
	}
	return n, err
}

// read calls handle for each received message, and onProgress while a large one arrives,
// until the connection is closed. A malformed message from the peer closes it too.
func (c *connection) read(ctx context.Context, onProgress func(), handle func(Message)) error {
	defer c.close()
	for {
		kind, reader, err := c.socket.Reader(ctx)
		if err != nil {
			return errors.Wrap(err, "read from peer")
		}
		data, err := io.ReadAll(&progressReader{source: reader, onProgress: onProgress, reportedAt: time.Now()})
		if err != nil {
			return errors.Wrap(err, "read from peer")
		}
		if kind != websocket.MessageBinary {
			return &MessageError{Problem: "unexpected text message"}
		}
		message, err := Decode(data)
		if err != nil {
			return err
		}
		begin := time.Now()
		handle(message)
		c.reportSince(message, StageRead, begin)
	}
}
