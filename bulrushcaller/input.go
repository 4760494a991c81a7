package bulrushcaller

import (
	"io"
	"net"
	"sync"
	"time"

	"bulrushchute.example/bulrushchute/bulrushsocket"
)

const (
	// socketReadBytes is the size of one read from the socket.
	socketReadBytes = 4 << 10
	// maxUnparsedBytes limits the bytes that are read from the socket before they
	// are parsed.
	maxUnparsedBytes = 16 << 10
	// closeCheckInterval is how often the connection is checked while nothing is read
	// from it.
	closeCheckInterval = 50 * time.Millisecond
)

// input reads from a socket ahead of the parser, so that the end of the connection
// is noticed while requests are being served.
type input struct {
	mutex sync.Mutex
	// changed is signalled when any of the fields below changes.
	changed  *sync.Cond
	unparsed []byte
	// err is set once nothing more can be read from the socket.
	err error
	// discarding is set once the parser has stopped.
	discarding bool
}

func newInput() *input {
	in := &input{}
	in.changed = sync.NewCond(&in.mutex)
	return in
}

// pump reads from the socket until that fails, and returns the error.
func (in *input) pump(socket net.Conn) error {
	buffer := make([]byte, socketReadBytes)
	for {
		n, err := socket.Read(buffer)
		in.add(buffer[:n], err)
		if err == nil {
			err = in.awaitRoom(socket)
		}
		if err != nil {
			return err
		}
	}
}

// awaitRoom blocks while too many bytes are unparsed. It returns io.EOF if the caller
// closes the connection meanwhile, which nothing would read.
func (in *input) awaitRoom(socket net.Conn) error {
	in.mutex.Lock()
	defer in.mutex.Unlock()
	for len(in.unparsed) >= maxUnparsedBytes && !in.discarding && in.err == nil {
		if bulrushsocket.ClosedByPeer(socket) {
			in.err = io.EOF
			in.changed.Broadcast()
			return io.EOF
		}
		timer := time.AfterFunc(closeCheckInterval, in.changed.Broadcast)
		in.changed.Wait()
		timer.Stop()
	}
	return nil
}

// add appends bytes read from the socket.
func (in *input) add(data []byte, err error) {
	in.mutex.Lock()
	defer in.mutex.Unlock()
	if !in.discarding {
		in.unparsed = append(in.unparsed, data...)
	}
	if err != nil {
		in.err = err
	}
	in.changed.Broadcast()
}

// Read implements io.Reader for the parser.
func (in *input) Read(data []byte) (int, error) {
	in.mutex.Lock()
	defer in.mutex.Unlock()
	for len(in.unparsed) == 0 && in.err == nil {
		in.changed.Wait()
	}
	if len(in.unparsed) == 0 {
		return 0, in.err
	}
	n := copy(data, in.unparsed)
	in.unparsed = in.unparsed[:copy(in.unparsed, in.unparsed[n:])]
	in.changed.Broadcast()
	return n, nil
}

// empty reports whether the parser has read everything that has arrived.
func (in *input) empty() bool {
	in.mutex.Lock()
	defer in.mutex.Unlock()
	return len(in.unparsed) == 0
}

// discard drops what is unparsed and whatever arrives from now on.
func (in *input) discard() {
	in.mutex.Lock()
	defer in.mutex.Unlock()
	in.discarding = true
	in.unparsed = nil
	in.changed.Broadcast()
}

// end makes the parser's reads fail.
func (in *input) end() {
	in.fail(net.ErrClosed)
}

// fail makes the parser's reads fail with an error, unless the connection has ended before.
func (in *input) fail(err error) {
	in.mutex.Lock()
	defer in.mutex.Unlock()
	if in.err == nil {
		in.err = err
	}
	in.unparsed = nil
	in.discarding = true
	in.changed.Broadcast()
}
