package bulrushbackend

import (
	"bytes"
	"io"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"bulrushchute.example/bulrushchute/bulrushresponse"
)

// maxSyncWriteBytes is the size up to which a request is fully written before
// its answer is read. It fits into any socket's send buffer, so that the write
// does not block.
const maxSyncWriteBytes = 16 << 10

// answerError reports an answer that is incomplete or does not belong to the
// request.
type answerError struct {
	problem string
}

// Error implements error.
func (e *answerError) Error() string {
	return e.problem
}

// encodeRequest serialises a request as HTTP/1.1, and returns what is to be written one after
// the other. A large body is not copied. The request target is written unchanged, without
// normalising its escapes.
func encodeRequest(request Request) ([][]byte, error) {
	small := len(request.Body) <= maxSyncWriteBytes
	var buffer bytes.Buffer
	buffer.Grow(1024 + min(len(request.Body), maxSyncWriteBytes))
	buffer.WriteString(request.Method + " " + request.Target + " HTTP/1.1\r\nHost: " + request.Host + "\r\n")
	if err := request.Header.Write(&buffer); err != nil {
		return nil, errors.Wrap(err, "write request header")
	}
	if request.HasBody {
		buffer.WriteString("Content-Length: " + strconv.Itoa(len(request.Body)) + "\r\n")
	}
	buffer.WriteString("\r\n")
	if !small {
		return [][]byte{buffer.Bytes(), request.Body}, nil
	}
	buffer.Write(request.Body)
	return [][]byte{buffer.Bytes()}, nil
}

// readFinalResponse reads the status line and header of the next final answer,
// skipping interim (1xx) ones. All of them together are limited.
func readFinalResponse(conn *connection, method string, maxHeaderBytes int) (*http.Response, error) {
	conn.header.begin(maxHeaderBytes)
	defer conn.header.end()
	for range maxInterimAnswers + 1 {
		response, err := http.ReadResponse(conn.reader, &http.Request{Method: method})
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return nil, errors.Wrap(err, "read answer header")
		}
		if err != nil {
			return nil, err
		}
		if err := bulrushresponse.CheckHead(response); err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
	return nil, &answerError{problem: "too many interim answers"}
}

// isCloseDelimited reports whether the body ends only with the connection.
func isCloseDelimited(response *http.Response) bool {
	if response.ContentLength >= 0 || len(response.TransferEncoding) > 0 {
		return false
	}
	bodyless := response.StatusCode == http.StatusNoContent || response.StatusCode == http.StatusNotModified
	return !bodyless && response.Request.Method != http.MethodHead
}
