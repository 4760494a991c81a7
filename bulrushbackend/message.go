package bulrushbackend

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strconv"

	"github.com/pkg/errors"
)

// writeAtOnce is the size up to which a request is written before its answer
// is read. It fits into any socket's send buffer.
const writeAtOnce = 16 << 10

// answerError reports bytes that are not an answer to the request.
type answerError struct {
	problem string
}

// Error implements error.
func (e *answerError) Error() string {
	return e.problem
}

// encodeRequest returns the bytes of a request. The target stays as the caller
// spelled it.
func encodeRequest(exchange Exchange) ([]byte, error) {
	var buffer bytes.Buffer
	buffer.Grow(1024 + len(exchange.Body))
	buffer.WriteString(exchange.Method + " " + exchange.Target + " HTTP/1.1\r\nHost: " + exchange.Host + "\r\n")
	if err := exchange.Header.Write(&buffer); err != nil {
		return nil, errors.Wrap(err, "encode request headers")
	}
	if exchange.HasBody {
		buffer.WriteString("Content-Length: " + strconv.Itoa(len(exchange.Body)) + "\r\n")
	}
	buffer.WriteString("\r\n")
	buffer.Write(exchange.Body)
	return buffer.Bytes(), nil
}

// readResponse reads the head of the next final answer.
func readResponse(reader *bufio.Reader, method string) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(reader, &http.Request{Method: method})
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return nil, errors.Wrap(err, "read answer")
		}
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

func endsWithConnection(response *http.Response) bool {
	if response.ContentLength >= 0 || len(response.TransferEncoding) > 0 {
		return false
	}
	bodyless := response.StatusCode == http.StatusNoContent || response.StatusCode == http.StatusNotModified
	return !bodyless && response.Request.Method != http.MethodHead
}
