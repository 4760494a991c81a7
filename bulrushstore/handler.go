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

// DefaultBookmark is the time between bookmarks on an idle watch. It is well
// below DefaultWatchIdle, so a client takes only a broken watch for one.
const DefaultBookmark = 5 * bulrushchute.Second

// HandlerSettings describe a Handler.
type HandlerSettings struct {
	// ReadsPerS and WritesPerS bound the calls; 0 means no bound. A call over
	// the rate is answered with 429.
	ReadsPerS  float64
	WritesPerS float64
	// Bookmark is the time between bookmarks on an idle watch.
	Bookmark bulrushchute.Millis
}

// Counts are the calls of one kind of objects.
type Counts struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Watches uint64 `json:"watches"`
	// Refused counts calls over the rate, which are in no other count.
	Refused uint64 `json:"refused"`
	// WaitingWatches is the number of watches that are open now.
	WaitingWatches int `json:"waiting_watches"`
}

// Handler serves a Memory over HTTP as a stand-in for the platform's store.
type Handler struct {
	memory   *Memory
	settings HandlerSettings
	reads    *rate.Limiter
	writes   *rate.Limiter

	mu     sync.Mutex
	counts map[bulrushchute.Kind]Counts
}

// NewHandler returns a handler for a store.
func NewHandler(memory *Memory, settings HandlerSettings) *Handler {
	if settings.Bookmark == 0 {
		settings.Bookmark = DefaultBookmark
	}
	return &Handler{
		memory:   memory,
		settings: settings,
		reads:    newLimiter(settings.ReadsPerS),
		writes:   newLimiter(settings.WritesPerS),
		counts:   make(map[bulrushchute.Kind]Counts),
	}
}

// newLimiter allows bursts of up to one second's calls.
func newLimiter(perS float64) *rate.Limiter {
	if perS == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perS), max(1, int(perS)))
}

// Counts returns the calls so far by kind of objects.
func (h *Handler) Counts() map[bulrushchute.Kind]Counts {
	h.mu.Lock()
	defer h.mu.Unlock()
	counts := make(map[bulrushchute.Kind]Counts, len(h.counts))
	for kind, c := range h.counts {
		counts[kind] = c
	}
	return counts
}

func (h *Handler) count(kind bulrushchute.Kind, change func(*Counts)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.counts[kind]
	change(&c)
	h.counts[kind] = c
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, ok := splitPath(r.URL)
	if !ok {
		writeStatus(w, newStatus(http.StatusNotFound, reasonNotFound, r.URL.Path))
		return
	}
	if !h.admit(r.Method, kind) {
		w.Header().Set("Retry-After", "1")
		writeStatus(w, newStatus(http.StatusTooManyRequests, reasonTooMany, "rate of calls exceeded"))
		return
	}
	switch r.Method {
	case http.MethodGet:
		h.serveRead(w, r, kind, name)
	case http.MethodPost, http.MethodPut, http.MethodDelete:
		h.count(kind, func(c *Counts) { c.Writes++ })
		h.serveWrite(w, r, kind, name)
	default:
		writeStatus(w, newStatus(http.StatusMethodNotAllowed, reasonMethod, r.Method))
	}
}

func splitPath(location *url.URL) (bulrushchute.Kind, string, bool) {
	rest, ok := strings.CutPrefix(location.EscapedPath(), apiPath)
	if !ok {
		return "", "", false
	}
	kindText, nameText, _ := strings.Cut(rest, "/")
	kind, kindErr := url.PathUnescape(kindText)
	name, nameErr := url.PathUnescape(nameText)
	valid := kindErr == nil && nameErr == nil && kind != "" && !strings.Contains(nameText, "/")
	return bulrushchute.Kind(kind), name, valid
}

func (h *Handler) admit(method string, kind bulrushchute.Kind) bool {
	limiter := h.writes
	if method == http.MethodGet {
		limiter = h.reads
	}
	if limiter.Allow() {
		return true
	}
	h.count(kind, func(c *Counts) { c.Refused++ })
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
		respond(w, http.StatusOK, wireOf(object), err)
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
		list.Items = append(list.Items, wireOf(object))
	}
	respond(w, http.StatusOK, list, err)
}

func (h *Handler) serveWrite(w http.ResponseWriter, r *http.Request, kind bulrushchute.Kind, name string) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		writeStatus(w, newStatus(http.StatusRequestEntityTooLarge, reasonTooLarge, err.Error()))
		return
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if r.Method == http.MethodDelete {
		err = h.remove(r.Context(), kind, name, body)
		respond(w, http.StatusOK, newSuccess(), err)
		return
	}
	code, object, err := h.store(r.Context(), r.Method, kind, name, body)
	respond(w, code, wireOf(object), err)
}

func newSuccess() wireStatus {
	return wireStatus{APIVersion: "v1", Kind: statusKind, Status: "Success", Code: http.StatusOK}
}

func (h *Handler) remove(ctx context.Context, kind bulrushchute.Kind, name string, body []byte) error {
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

func (h *Handler) store(ctx context.Context, method string, kind bulrushchute.Kind, name string, body []byte) (int, bulrushchute.Object, error) {
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

// respond writes the answer of a call. A lost answer closes the connection.
func respond(w http.ResponseWriter, code int, body any, err error) {
	var ambiguous *bulrushchute.AmbiguousError
	if errors.As(err, &ambiguous) || errors.Is(err, errAnswerLost) {
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
	// The caller notices a failed write as a truncated answer.
	_, _ = w.Write(data)
}

// serveWatch streams events until the caller goes or the store ends the watch.
func (h *Handler) serveWatch(w http.ResponseWriter, r *http.Request, kind bulrushchute.Kind, from string) {
	h.count(kind, func(c *Counts) { c.Watches++; c.WaitingWatches++ })
	defer h.count(kind, func(c *Counts) { c.WaitingWatches-- })
	revision, err := parseVersion(from)
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
	go h.follow(ctx, kind, revision, stream, ended)
	h.bookmark(ctx, stream, kind, ended)
}

// follow sends the changes of a kind and reports on the channel why it ended.
func (h *Handler) follow(ctx context.Context, kind bulrushchute.Kind, revision uint64, stream *eventStream, ended chan<- error) {
	ended <- h.memory.Watch(ctx, kind, revision, stream.send)
}

// bookmark keeps an idle watch alive until the watch itself has ended.
func (h *Handler) bookmark(ctx context.Context, stream *eventStream, kind bulrushchute.Kind, ended <-chan error) {
	ticker := time.NewTicker(h.settings.Bookmark.Duration())
	defer ticker.Stop()
	for {
		select {
		case err := <-ended:
			if ctx.Err() == nil {
				stream.write(eventError, statusOf(err))
			}
			return
		case <-ticker.C:
			stream.write(eventBookmark, wireOf(bulrushchute.Object{Kind: kind, Version: h.memory.Revision()}))
		}
	}
}

// eventStream writes JSON lines. It is safe for concurrent use.
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

func (es *eventStream) send(event bulrushchute.StoreEvent) {
	kind := eventModified
	if event.Deleted {
		kind = eventDeleted
	}
	es.write(kind, wireOf(event.Object))
}

func (es *eventStream) write(kind string, object any) {
	data, err := encode(object)
	if err != nil {
		return
	}
	line, err := encode(wireEvent{Type: kind, Object: data})
	if err != nil {
		return
	}
	es.mu.Lock()
	defer es.mu.Unlock()
	// A caller that has gone ends the request's context.
	_, _ = es.writer.Write(line)
	es.flush()
}

func (es *eventStream) flush() {
	_ = es.controller.Flush()
}
