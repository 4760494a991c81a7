package bulrushnode

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushwire"
)

// backendConnectTimeout bounds opening a connection to the backend server on
// the same instance, which takes about a millisecond.
const backendConnectTimeout = 500 * time.Millisecond

// dispatchResult is the end of one dispatch to the backend server. Answer is
// nil when there is no whole answer.
type dispatchResult struct {
	answer *bulrushchute.Answer
	// started is false only if no byte can have reached the backend server.
	started bool
	reason  bulrushchute.Reason
}

// backendClient sends requests to the backend server beside this node.
type backendClient struct {
	transport *http.Transport
}

func newBackendClient(connections int) *backendClient {
	dialer := &net.Dialer{Timeout: backendConnectTimeout}
	return &backendClient{transport: &http.Transport{
		Proxy:               nil,
		DialContext:         dialer.DialContext,
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: connections,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}}
}

func (bc *backendClient) close() {
	bc.transport.CloseIdleConnections()
}

// dispatch sends one attempt and reads the whole answer.
func (bc *backendClient) dispatch(ctx context.Context, address bulrushchute.Address, attempt bulrushchute.Attempt, deadline bulrushchute.Millis) dispatchResult {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := backendRequest(ctx, address, attempt, deadline)
	if err != nil {
		return dispatchResult{reason: bulrushchute.ReasonMalformed}
	}
	response, err := bc.transport.RoundTrip(request)
	if err != nil {
		return dispatchResult{started: connected.Load(), reason: failureReason(ctx, err)}
	}
	defer func() { _ = response.Body.Close() }()
	answer, reason := readAnswer(response)
	return dispatchResult{answer: answer, started: true, reason: reason}
}

func failureReason(ctx context.Context, err error) bulrushchute.Reason {
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return bulrushchute.ReasonDeadline
	case ctx.Err() != nil:
		return bulrushchute.ReasonCancelled
	default:
		return bulrushchute.ReasonConnectionLost
	}
}

// onceBody is a request body that net/http cannot rewind. The transport
// repeats a request on its own when it takes it for replayable, and an
// Idempotency-Key header alone makes it do so; without a way to rewind the
// body it never sends a request twice.
type onceBody struct {
	io.Reader
}

func (onceBody) Close() error { return nil }

func backendRequest(ctx context.Context, address bulrushchute.Address, attempt bulrushchute.Attempt, deadline bulrushchute.Millis) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, attempt.Method, "http://"+string(address)+attempt.Path, nil)
	if err != nil {
		return nil, errors.Wrap(err, "build the backend server's request")
	}
	if len(attempt.Body) > 0 || !attempt.Idempotent {
		request.Body = onceBody{bytes.NewReader(attempt.Body)}
		request.ContentLength = int64(len(attempt.Body))
	}
	addFields(request.Header, attempt.Header)
	request.Header.Set(headerDeadline, strconv.FormatInt(int64(deadline), 10))
	request.Header.Set(headerDepth, strconv.Itoa(attempt.Depth))
	if attempt.Retry {
		request.Header.Set(headerRetry, "1")
	}
	request.Header.Set(headerTenant, string(attempt.Tenant))
	return request, nil
}

// readAnswer reads the body to its end. A body that ends only because the
// connection does cannot be told from a truncated one and is not accepted.
func readAnswer(response *http.Response) (*bulrushchute.Answer, bulrushchute.Reason) {
	if endsWithConnection(response) {
		return nil, bulrushchute.ReasonTruncated
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, bulrushwire.MaxBodyBytes+1))
	if err != nil {
		return nil, bulrushchute.ReasonTruncated
	}
	if len(body) > bulrushwire.MaxBodyBytes {
		return nil, bulrushchute.ReasonTooLarge
	}
	fields := passedFields(response.Header)
	if response.Request.Method == http.MethodHead {
		fields = keepLength(fields, response.Header)
	}
	answer := bulrushwire.Seal(bulrushchute.Answer{Status: response.StatusCode, Header: fields, Body: body})
	return &answer, ""
}

func endsWithConnection(response *http.Response) bool {
	if response.ContentLength >= 0 || len(response.TransferEncoding) > 0 {
		return false
	}
	bodyless := response.StatusCode == http.StatusNoContent || response.StatusCode == http.StatusNotModified
	return !bodyless && response.Request.Method != http.MethodHead
}
