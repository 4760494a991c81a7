package bulrushcaller

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"

	"github.com/pkg/errors"

	"bulrushchute.example/bulrushchute/bulrushmemory"
)

const (
	// maxHeaderLines limits the lines of a head. A head of 64 KiB has fewer, however
	// short they are.
	maxHeaderLines = 32 << 10
	// headLineCost and headByteCost are the bytes that a line of a head, and each byte of
	// it, take once they are parsed and encoded again for another node.
	headLineCost = 160
	headByteCost = 4
	// maxKeptHeadBytes is the size up to which the buffer of a head is used again.
	maxKeptHeadBytes = 4 << 10
)

// head is the request line and headers of a request as they arrived.
type head struct {
	bytes []byte
	lines int
}

// cost returns the memory that a request takes once its head is parsed.
func (h *head) cost() int64 {
	return int64(len(h.bytes))*headByteCost + int64(h.lines)*headLineCost
}

// reset prepares for the next head.
func (h *head) reset() {
	h.bytes, h.lines = h.bytes[:0], 0
	if cap(h.bytes) > maxKeptHeadBytes {
		h.bytes = nil
	}
}

// readHead reads a head to the empty line behind it. The error is a *requestError if the
// request must be rejected.
func (c *connection) readHead(ctx context.Context, limit int, memory *reservation) error {
	continued := false
	for {
		part, err := c.reader.ReadSlice('\n')
		if len(c.head.bytes)+len(part) > limit || c.head.lines >= maxHeaderLines {
			return &requestError{status: http.StatusRequestHeaderFieldsTooLarge}
		}
		c.head.bytes = append(c.head.bytes, part...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
		case err != nil:
			return err
		default:
			c.head.lines++
		}
		if err == nil && !continued && len(bytes.TrimSuffix(part[:len(part)-1], []byte{'\r'})) == 0 {
			return nil
		}
		continued = err != nil
		memory.arrived(len(part))
		if err := memory.ensure(ctx, int64(cap(c.head.bytes))); err != nil {
			return rejectForMemory(err)
		}
	}
}

// rejectForMemory returns the rejection of a request for which there is no memory.
func rejectForMemory(err error) error {
	var full *bulrushmemory.FullError
	if errors.As(err, &full) {
		return &requestError{status: http.StatusServiceUnavailable, retryAfter: retryAfterMemory, cause: err}
	}
	return err
}

var headReaders = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, parserBufferBytes) }}

// parseHead parses a head. The request that it returns has no body.
func parseHead(data []byte) (*http.Request, error) {
	source := bytes.NewReader(data)
	reader := headReaders.Get().(*bufio.Reader)
	defer func() {
		reader.Reset(nil)
		headReaders.Put(reader)
	}()
	reader.Reset(source)
	request, err := http.ReadRequest(reader)
	if err != nil {
		return nil, &requestError{status: http.StatusBadRequest, cause: err}
	}
	if reader.Buffered() > 0 || source.Len() > 0 {
		return nil, &requestError{status: http.StatusBadRequest, cause: errors.New("the header ends before its empty line")}
	}
	return request, nil
}

// isConnectionEnd reports whether reading failed because the connection has ended.
func isConnectionEnd(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed)
}
