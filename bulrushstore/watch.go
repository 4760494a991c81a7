package bulrushstore

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"bulrushchute.example/bulrushchute"
)

// maxWatchLineBytes bounds one line of a watch stream, which holds an object and
// the event that encloses it.
const maxWatchLineBytes = maxBodyBytes + 64<<10

// Watch implements bulrushchute.Store. To resume after an error, the caller
// watches again from the version of the last event. A *GoneError means that
// the changes since then are no longer in the store's history.
func (c *Client) Watch(ctx context.Context, kind bulrushchute.Kind, revision uint64, handle func(bulrushchute.StoreEvent)) error {
	request := apiRequest{
		verb:   VerbWatch,
		method: http.MethodGet,
		object: bulrushchute.Object{Kind: kind},
		path: resourcePath(kind, "") + "?watch=1&allowWatchBookmarks=true&resourceVersion=" +
			strconv.FormatUint(revision, 10),
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	idle := time.AfterFunc(c.settings.WatchIdleTimeout.Duration(), func() { cancel(errWatchIdle) })
	defer idle.Stop()
	response, err := c.send(ctx, request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusGone {
		return &GoneError{Kind: kind, Revision: revision}
	}
	if response.StatusCode != http.StatusOK {
		return request.responseError(response)
	}
	reader := watchReader{kind: kind, revision: revision, handle: handle}
	err = reader.readAll(response.Body, func() { idle.Reset(c.settings.WatchIdleTimeout.Duration()) })
	if cause := context.Cause(ctx); cause != nil {
		err = request.operation().Unavailable(cause)
	}
	return err
}

// watchReader decodes the lines of a watch stream into events.
type watchReader struct {
	kind     bulrushchute.Kind
	revision uint64
	handle   func(bulrushchute.StoreEvent)
}

// readAll decodes lines until the stream ends and calls onLine for each.
func (wr *watchReader) readAll(body io.Reader, onLine func()) error {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxWatchLineBytes)
	for scanner.Scan() {
		onLine()
		if err := wr.readLine(scanner.Bytes()); err != nil {
			return err
		}
	}
	cause := scanner.Err()
	if cause == nil {
		cause = errWatchEnded
	}
	return &bulrushchute.UnavailableError{Operation: string(VerbWatch), Cause: cause}
}

func (wr *watchReader) readLine(line []byte) error {
	var event wireEvent
	if err := json.Unmarshal(line, &event); err != nil {
		return &bulrushchute.UnavailableError{Operation: string(VerbWatch), Cause: err}
	}
	switch event.Type {
	case eventAdded, eventModified, eventDeleted:
		return wr.readObject(event)
	case eventError:
		return wr.readError(event)
	default:
		// Ignore bookmarks, and event types that later versions of the store may add.
		return nil
	}
}

func (wr *watchReader) readObject(event wireEvent) error {
	var wire wireObject
	if err := json.Unmarshal(event.Object, &wire); err != nil {
		return &bulrushchute.UnavailableError{Operation: string(VerbWatch), Cause: err}
	}
	object, err := wire.object()
	if err != nil {
		return &bulrushchute.UnavailableError{Operation: string(VerbWatch), Cause: err}
	}
	object.Kind = wr.kind
	deleted := event.Type == eventDeleted
	if deleted {
		object.Value = nil
	}
	wr.revision = object.Version
	wr.handle(bulrushchute.StoreEvent{Object: object, Deleted: deleted})
	return nil
}

func (wr *watchReader) readError(event wireEvent) error {
	var status wireStatus
	if err := json.Unmarshal(event.Object, &status); err != nil {
		return &bulrushchute.UnavailableError{Operation: string(VerbWatch), Cause: errors.Wrap(err, "error event")}
	}
	if status.Code == http.StatusGone {
		return &GoneError{Kind: wr.kind, Revision: wr.revision}
	}
	cause := &StatusError{Code: status.Code, Reason: status.Reason, Message: status.Message}
	return &bulrushchute.UnavailableError{Operation: string(VerbWatch), Cause: cause}
}
