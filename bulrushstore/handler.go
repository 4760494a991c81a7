package bulrushstore

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"bulrushchute.example/bulrushchute"
)

// DefaultBookmarkInterval is the default of HandlerSettings.BookmarkInterval. It
// is well below DefaultWatchIdleTimeout, so that a client times out only on a
// broken watch.
const DefaultBookmarkInterval = 5 * bulrushchute.Second

// HandlerSettings configure a Handler.
type HandlerSettings struct {
	// ReadsPerS and WritesPerS limit the calls per second; 0 means no limit.
	// Calls over the limit get status 429.
	ReadsPerS  float64
	WritesPerS float64
	// BookmarkInterval is the time between two bookmarks on a watch.
	BookmarkInterval bulrushchute.Millis
}

// Counts are the numbers of calls for one kind of object.
type Counts struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Watches uint64 `json:"watches"`
	// RateLimited counts the calls rejected by the rate limit, which are in no
	// other count.
	RateLimited uint64 `json:"refused"`
	// OpenWatches is the number of currently open watches.
	OpenWatches int `json:"waiting_watches"`
}

// Handler serves a Memory over HTTP as a stand-in for the object store.
type Handler struct {
	memory       *Memory
	settings     HandlerSettings
	readLimiter  *rate.Limiter
	writeLimiter *rate.Limiter

	mu     sync.Mutex
	counts map[bulrushchute.Kind]Counts
}

// NewHandler returns a handler that serves memory.
func NewHandler(memory *Memory, settings HandlerSettings) *Handler {
	if settings.BookmarkInterval == 0 {
		settings.BookmarkInterval = DefaultBookmarkInterval
	}
	return &Handler{
		memory:       memory,
		settings:     settings,
		readLimiter:  newLimiter(settings.ReadsPerS),
		writeLimiter: newLimiter(settings.WritesPerS),
		counts:       make(map[bulrushchute.Kind]Counts),
	}
}

// newLimiter returns a limiter with a burst of one second's calls, at least 1.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// Counts returns the numbers of calls so far by kind of object.
func (h *Handler) Counts() map[bulrushchute.Kind]Counts {
	h.mu.Lock()
	defer h.mu.Unlock()
	counts := make(map[bulrushchute.Kind]Counts, len(h.counts))
	for kind, c := range h.counts {
		counts[kind] = c
	}
	return counts
}

func (h *Handler) count(kind bulrushchute.Kind, update func(*Counts)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.counts[kind]
	update(&c)
	h.counts[kind] = c
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, ok := parsePath(r.URL)
	if !ok {
		writeStatus(w, newFailure(http.StatusNotFound, reasonNotFound, r.URL.Path))
		return
	}
	if !h.allow(r.Method, kind) {
		w.Header().Set("Retry-After", "1")
		writeStatus(w, newFailure(http.StatusTooManyRequests, reasonTooManyRequests, "rate of calls exceeded"))
		return
	}
	switch r.Method {
	case http.MethodGet:
		h.serveRead(w, r, kind, name)
	case http.MethodPost, http.MethodPut, http.MethodDelete:
		h.count(kind, func(c *Counts) { c.Writes++ })
		h.serveWrite(w, r, kind, name)
	default:
		writeStatus(w, newFailure(http.StatusMethodNotAllowed, reasonMethodNotAllowed, r.Method))
	}
}

func parsePath(requestURL *url.URL) (bulrushchute.Kind, string, bool) {
	rest, ok := strings.CutPrefix(requestURL.EscapedPath(), apiPath)
	if !ok {
		return "", "", false
	}
	kindText, nameText, _ := strings.Cut(rest, "/")
	kind, kindErr := url.PathUnescape(kindText)
	name, nameErr := url.PathUnescape(nameText)
	valid := kindErr == nil && nameErr == nil && kind != "" && !strings.Contains(nameText, "/")
	return bulrushchute.Kind(kind), name, valid
}

func (h *Handler) allow(method string, kind bulrushchute.Kind) bool {
	limiter := h.writeLimiter
	if method == http.MethodGet {
		limiter = h.readLimiter
	}
	if limiter.Allow() {
		return true
	}
	h.count(kind, func(c *Counts) { c.RateLimited++ })
	return false
}

func (h *Handler) serveRead(w http.ResponseWriter, r *http.Request, kind bulrushchute.Kind, name string) {
	query := r.URL.Query()
	if watch := query.Get("watch"); watch == "1" || watch == "true" {
		h.serveWatch(w, r, kind, query.Get("resourceVersion"))
		return
	}
	h.count(kind, func(c *Counts) { c.Reads++ })
	if name != "" {
		object, err := h.memory.Get(r.Context(), kind, name)
		respond(w, http.StatusOK, toWire(object), err)
		return
	}
	objects, revision, err := h.memory.List(r.Context(), kind)
	list := wireList{
		APIVersion: apiVersion,
		Kind:       kind,
		Metadata:   wireMetadata{ResourceVersion: formatVersion(revision)},
		Items:      make([]wireObject, 0, len(objects)),
	}
	for _, object := range objects {
		list.Items = append(list.Items, toWire(object))
	}
	respond(w, http.StatusOK, list, err)
}

func (h *Handler) serveWrite(w http.ResponseWriter, r *http.Request, kind bulrushchute.Kind, name string) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		writeStatus(w, newFailure(http.StatusRequestEntityTooLarge, reasonRequestEntityTooLarge, err.Error()))
		return
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if r.Method == http.MethodDelete {
		err = h.deleteObject(r.Context(), kind, name, body)
		respond(w, http.StatusOK, newSuccess(), err)
		return
	}
	code, object, err := h.writeObject(r.Context(), r.Method, kind, name, body)
	respond(w, code, toWire(object), err)
}

func newSuccess() wireStatus {
	return wireStatus{APIVersion: "v1", Kind: statusKind, Status: "Success", Code: http.StatusOK}
}

func (h *Handler) deleteObject(ctx context.Context, kind bulrushchute.Kind, name string, body []byte) error {
	var options wireDeleteOptions
	if err := json.Unmarshal(body, &options); err != nil {
		return invalidBody(err)
	}
	version, err := parseVersion(options.Preconditions.ResourceVersion)
	if err != nil {
		return err
	}
	return h.memory.Delete(ctx, bulrushchute.Object{Kind: kind, Name: name, Version: version})
}

func (h *Handler) writeObject(ctx context.Context, method string, kind bulrushchute.Kind, name string, body []byte) (int, bulrushchute.Object, error) {
	var wire wireObject
	if err := json.Unmarshal(body, &wire); err != nil {
		return 0, bulrushchute.Object{}, invalidBody(err)
	}
	object, err := wire.object()
	if err != nil {
		return 0, object, err
	}
	object.Kind = kind
	if method == http.MethodPost {
		object, err = h.memory.Create(ctx, object)
		return http.StatusCreated, object, err
	}
	object.Name = name
	object, err = h.memory.Update(ctx, object)
	return http.StatusOK, object, err
}

func invalidBody(err error) error {
	return &bulrushchute.FieldError{Field: "body", Value: err.Error(), Allowed: "a JSON object"}
}

// respond writes the response to a call. If the injected fault loses the
// response, it closes the connection instead.
func respond(w http.ResponseWriter, code int, body any, err error) {
	var ambiguous *bulrushchute.AmbiguousError
	if errors.As(err, &ambiguous) || errors.Is(err, errResponseLost) {
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		writeStatus(w, statusOf(err))
		return
	}
	writeJSON(w, code, body)
}

func writeStatus(w http.ResponseWriter, status wireStatus) {
	writeJSON(w, status.Code, status)
}

func writeJSON(w http.ResponseWriter, code int, body any) {
	data, err := encode(body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", contentType)
	w.WriteHeader(code)
	// The client detects a failed write as a truncated response.
	_, _ = w.Write(data)
}

// serveWatch streams events until the client disconnects or the store ends the
// watch.
func (h *Handler) serveWatch(w http.ResponseWriter, r *http.Request, kind bulrushchute.Kind, resourceVersion string) {
	h.count(kind, func(c *Counts) { c.Watches++; c.OpenWatches++ })
	defer h.count(kind, func(c *Counts) { c.OpenWatches-- })
	revision, err := parseVersion(resourceVersion)
	if err == nil {
		err = h.memory.CheckWatch(kind, revision)
	}
	if err != nil {
		writeStatus(w, statusOf(err))
		return
	}
	stream := newEventStream(w)
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	ended := make(chan error, 1)
	go h.forwardEvents(ctx, kind, revision, stream, ended)
	h.sendBookmarks(ctx, stream, kind, ended)
}

// forwardEvents sends the changes of a kind to the stream. When the watch ends,
// it sends the error on the ended channel.
func (h *Handler) forwardEvents(ctx context.Context, kind bulrushchute.Kind, revision uint64, stream *eventStream, ended chan<- error) {
	ended <- h.memory.Watch(ctx, kind, revision, stream.send)
}

// sendBookmarks sends bookmarks, which keep an idle watch alive, until the watch
// ends. It reports the end to the client as an error event.
func (h *Handler) sendBookmarks(ctx context.Context, stream *eventStream, kind bulrushchute.Kind, ended <-chan error) {
	ticker := time.NewTicker(h.settings.BookmarkInterval.Duration())
	defer ticker.Stop()
	for {
		select {
		case err := <-ended:
			if ctx.Err() == nil {
				stream.write(eventError, statusOf(err))
			}
			return
		case <-ticker.C:
			stream.write(eventBookmark, toWire(bulrushchute.Object{Kind: kind, Version: h.memory.Revision()}))
		}
	}
}

// eventStream writes watch events as JSON lines. It is safe for concurrent use.
type eventStream struct {
	mu         sync.Mutex
	writer     io.Writer
	controller *http.ResponseController
}

func newEventStream(w http.ResponseWriter) *eventStream {
	w.Header().Set("Content-Type", contentType)
	w.WriteHeader(http.StatusOK)
	stream := &eventStream{writer: w, controller: http.NewResponseController(w)}
	stream.flush()
	return stream
}

// send writes the event of a change. A created object also gets the type
// MODIFIED, which Client treats like ADDED.
func (es *eventStream) send(event bulrushchute.StoreEvent) {
	eventType := eventModified
	if event.Deleted {
		eventType = eventDeleted
	}
	es.write(eventType, toWire(event.Object))
}

func (es *eventStream) write(eventType string, object any) {
	data, err := encode(object)
	if err != nil {
		return
	}
	line, err := encode(wireEvent{Type: eventType, Object: data})
	if err != nil {
		return
	}
	es.mu.Lock()
	defer es.mu.Unlock()
	// Write errors need no handling: a disconnected client cancels the context
	// of the request.
	_, _ = es.writer.Write(line)
	es.flush()
}

func (es *eventStream) flush() {
	_ = es.controller.Flush()
}
