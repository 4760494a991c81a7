package bulrushcaller

import (
	"bytes"
	"context"
	"net/http"
	"runtime/debug"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"bulrushchute.example/bulrushchute/bulrushmemory"
)

// response is the response to one request. The handler writes it to memory, from
// where it is sent once it is the oldest of its connection.
type response struct {
	request *http.Request
	header  http.Header
	status  int
	body    bytes.Buffer
	// done is closed when the handler has returned, and sent when the response has
	// been sent or dropped.
	done chan struct{}
	sent chan struct{}
	// runsAhead is set when the request may be served together with others.
	runsAhead bool
	// bodyBytes is the size of the request's body.
	bodyBytes int
	// share is the memory that the request has, or nil.
	share *bulrushmemory.Share
	// last is set when the connection ends after the response, because of the
	// request itself.
	last bool
}

var _ http.ResponseWriter = (*response)(nil)

func newResponse(request *http.Request) *response {
	return &response{request: request, header: make(http.Header), done: make(chan struct{}), sent: make(chan struct{})}
}

// serve calls the handler. After a panic, the caller gets status 500 instead of
// what the handler has written.
func (r *response) serve(handler http.Handler) {
	defer func() {
		if cause := recover(); cause != nil {
			klog.ErrorS(nil, "handler panicked", "cause", cause, "stack", string(debug.Stack()))
			*r = response{request: r.request, header: make(http.Header), done: r.done, sent: r.sent, bodyBytes: r.bodyBytes, share: r.share, last: true}
			r.WriteHeader(http.StatusInternalServerError)
		}
	}()
	handler.ServeHTTP(r, r.request)
}

// release drops the request and the response, whose memory others may have now. The response
// itself is known to the parser until the next request.
func (r *response) release() {
	r.request, r.header, r.body = nil, nil, bytes.Buffer{}
	r.share.Release()
}

// isSent reports whether the response has been sent or dropped.
func (r *response) isSent() bool {
	select {
	case <-r.sent:
		return true
	default:
		return false
	}
}

// Header implements http.ResponseWriter.
func (r *response) Header() http.Header {
	return r.header
}

// WriteHeader implements http.ResponseWriter.
func (r *response) WriteHeader(status int) {
	if r.status == 0 {
		r.status = status
	}
}

// Write implements http.ResponseWriter.
func (r *response) Write(data []byte) (int, error) {
	r.WriteHeader(http.StatusOK)
	return r.body.Write(data)
}

// wantsClose reports whether the handler or the request asks for the end of the
// connection.
func (r *response) wantsClose() bool {
	return r.last || r.header.Get("Connection") == "close"
}

// encode returns the response as sent. It states the end of the connection if
// closing is set.
func (r *response) encode(closing bool) []byte {
	r.WriteHeader(http.StatusOK)
	if closing {
		r.header.Set("Connection", "close")
	} else {
		r.header.Del("Connection")
	}
	head := r.request != nil && r.request.Method == http.MethodHead
	withoutBody := r.status < 200 || r.status == http.StatusNoContent || r.status == http.StatusNotModified
	if withoutBody {
		r.header.Del("Content-Length")
	} else if !head || r.header.Get("Content-Length") == "" {
		r.header.Set("Content-Length", strconv.Itoa(r.body.Len()))
	}
	if r.header.Get("Date") == "" {
		r.header.Set("Date", time.Now().UTC().Format(http.TimeFormat))
	}
	var encoded bytes.Buffer
	encoded.Grow(r.body.Len() + 512)
	encoded.WriteString(r.version() + " " + strconv.Itoa(r.status) + " " + http.StatusText(r.status) + "\r\n")
	// A bytes.Buffer never returns an error.
	_ = r.header.Write(&encoded)
	encoded.WriteString("\r\n")
	if !head && !withoutBody {
		encoded.Write(r.body.Bytes())
	}
	return encoded.Bytes()
}

func (r *response) version() string {
	if r.request != nil && !r.request.ProtoAtLeast(1, 1) {
		return "HTTP/1.0"
	}
	return "HTTP/1.1"
}

// wait blocks until the response has been sent or dropped, or the context ends.
func (r *response) wait(ctx context.Context) {
	select {
	case <-r.sent:
	case <-ctx.Done():
	}
}
