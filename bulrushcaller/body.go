package bulrushcaller

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httputil"
	"slices"
	"time"

	"github.com/pkg/errors"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushmemory"
)

const (
	// maxCopiedBodyBytes is an upper limit of what exists twice of a body, while it is
	// encoded for another node.
	maxCopiedBodyBytes = 256 << 10
	// maxTrailerBytes limits the lines after a body in chunks, which are dropped.
	maxTrailerBytes = 4 << 10
	// retryAfterMemory is the Retry-After of requests for which there was no memory.
	retryAfterMemory = bulrushchute.Second
)

// chunkedCapacities are the sizes of the buffer for a body in chunks, up to the limit. While
// it grows, both buffers exist.
var chunkedCapacities = []int64{8 << 10, 64 << 10, 512 << 10, 4 << 20, 16 << 20}

// BodyError reports a body that was not read to its end. Its request has not run.
type BodyError struct {
	// Status and Reason are those of the response.
	Status int
	Reason bulrushchute.Reason
	// RetryAfter is when the request may be sent again, 0 for never.
	RetryAfter bulrushchute.Millis
}

// Error implements error.
func (e *BodyError) Error() string {
	return "request body not read: " + string(e.Reason)
}

var (
	errBodyTooLarge = &BodyError{Status: http.StatusRequestEntityTooLarge, Reason: bulrushchute.ReasonTooLarge}
	errBodyTimeout  = &BodyError{Status: http.StatusRequestTimeout, Reason: bulrushchute.ReasonBodyTimeout}
	errBodyEvicted  = &BodyError{Status: http.StatusRequestTimeout, Reason: bulrushchute.ReasonBodyTimeout, RetryAfter: retryAfterMemory}
	errBodyMemory   = &BodyError{Status: http.StatusServiceUnavailable, Reason: bulrushchute.ReasonNoMemory, RetryAfter: retryAfterMemory}
)

// requestBody is the body of a request in memory, or the reason why it is not there.
type requestBody struct {
	*bytes.Reader
	data []byte
	err  error
}

func newRequestBody(data []byte, err error) *requestBody {
	return &requestBody{Reader: bytes.NewReader(data), data: data, err: err}
}

// Read implements io.Reader.
func (b *requestBody) Read(data []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	return b.Reader.Read(data)
}

// Close implements io.Closer.
func (b *requestBody) Close() error {
	return nil
}

// BodyOf returns the body of a request of a Server without copying it. The error is a
// *BodyError if it was not read. The last result is false for a request of another server.
func BodyOf(request *http.Request) ([]byte, error, bool) {
	body, ok := request.Body.(*requestBody)
	if !ok {
		return nil, nil, false
	}
	return body.data, body.err, true
}

// bodyCost returns the memory that a body takes, with what is copied of it.
func bodyCost(size int64) int64 {
	return size + min(size, maxCopiedBodyBytes)
}

// readBody reads the body of a request, once there is memory for it if its size is known.
// The error is a *BodyError if the handler must reject the request, and a *requestError if
// the body is malformed.
func (c *connection) readBody(ctx context.Context, request *http.Request, limit int64, memory *reservation, previous *response) ([]byte, error) {
	size := request.ContentLength
	if size > limit {
		return nil, errBodyTooLarge
	}
	if err := c.reserve(ctx, c.head.cost()+bodyCost(max(0, size)), memory, previous); err != nil {
		return nil, classifyBodyError(err)
	}
	if expectsContinue(request) {
		if err := c.sendContinue(ctx, previous); err != nil {
			return nil, err
		}
	}
	c.awaitBytes(ctx, previous)
	if size < 0 || int64(c.reader.Buffered()) < size {
		timer := time.AfterFunc(c.server.handler.BodyTimeout(request).Duration(), func() { c.input.fail(errBodyTimeout) })
		defer timer.Stop()
	}
	memory.resume()
	if size < 0 {
		data, err := c.readChunks(ctx, memory, limit)
		return data, classifyBodyError(err)
	}
	data := make([]byte, size)
	_, err := readFull(c.reader, data, memory)
	return data, classifyBodyError(err)
}

// readFull reads until the buffer is full. It returns the number of bytes that were read
// and, if they are fewer, the error of the reader.
func readFull(reader io.Reader, buffer []byte, memory *reservation) (int, error) {
	read := 0
	for read < len(buffer) {
		n, err := reader.Read(buffer[read:])
		read += n
		memory.arrived(n)
		if err != nil && read < len(buffer) {
			return read, err
		}
	}
	return read, nil
}

func classifyBodyError(err error) error {
	var rejected *BodyError
	var full *bulrushmemory.FullError
	switch {
	case err == nil || errors.As(err, &rejected) || isConnectionEnd(err) || errors.Is(err, context.Canceled):
		return err
	case errors.As(err, &full):
		return errBodyMemory
	default:
		return &requestError{status: http.StatusBadRequest, cause: err}
	}
}

// readChunks reads a body in chunks and what follows it.
func (c *connection) readChunks(ctx context.Context, memory *reservation, limit int64) ([]byte, error) {
	headCost := c.head.cost()
	chunks := httputil.NewChunkedReader(c.reader)
	var data []byte
	for _, capacity := range append(slices.Clone(chunkedCapacities), limit+1) {
		capacity = min(capacity, limit+1)
		if err := memory.ensure(ctx, headCost+int64(len(data))+capacity); err != nil {
			return nil, err
		}
		grown := make([]byte, capacity)
		copied := copy(grown, data)
		read, err := readFull(chunks, grown[copied:], memory)
		data = grown[:copied+read]
		memory.shrink(headCost + capacity)
		switch {
		case errors.Is(err, io.EOF):
			if int64(len(data)) < capacity/2 {
				data = slices.Clone(data)
			}
			memory.shrink(headCost + bodyCost(int64(cap(data))))
			return data, c.skipTrailer()
		case err != nil:
			return nil, err
		}
	}
	return nil, errBodyTooLarge
}

// skipTrailer reads to the empty line behind the last chunk.
func (c *connection) skipTrailer() error {
	for size := 0; size <= maxTrailerBytes; {
		line, err := c.reader.ReadSlice('\n')
		if err != nil {
			return err
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return nil
		}
		size += len(line)
	}
	return &requestError{status: http.StatusBadRequest, cause: errors.New("the trailer is too long")}
}
