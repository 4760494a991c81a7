package bulrushwire

import (
	"context"
	"sync"

	"github.com/coder/websocket"
	"github.com/pkg/errors"
)

// connection is one WebSocket to a peer.
type connection struct {
	socket *websocket.Conn
	// closed is closed when the read loop ends. A frame that has not been
	// written by then was certainly not sent.
	closed chan struct{}
	once   sync.Once
}

func newConnection(socket *websocket.Conn) *connection {
	socket.SetReadLimit(MaxFrameBytes)
	return &connection{socket: socket, closed: make(chan struct{})}
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
	c.once.Do(func() { close(c.closed) })
	_ = c.socket.CloseNow()
}

func (c *connection) write(ctx context.Context, frame Frame) error {
	data, err := Encode(frame)
	if err != nil {
		return err
	}
	return errors.Wrap(c.socket.Write(ctx, websocket.MessageBinary, data), "write to peer")
}

// read passes each frame to handle until the connection ends or the peer
// sends a malformed message, which ends the connection.
func (c *connection) read(ctx context.Context, handle func(Frame)) error {
	defer c.close()
	for {
		kind, data, err := c.socket.Read(ctx)
		if err != nil {
			return errors.Wrap(err, "read from peer")
		}
		if kind != websocket.MessageBinary {
			return &FrameError{Problem: "text message"}
		}
		frame, err := Decode(data)
		if err != nil {
			return err
		}
		handle(frame)
	}
}
