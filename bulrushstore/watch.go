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

// maxWatchLineBytes bounds one line of a watch stream. It leaves 64 KiB for the
// event around the largest object.
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
	idleTimer := time.AfterFunc(c.settings.WatchIdleTimeout.Duration(), func() { cancel(errWatchIdle) })
	defer idleTimer.Stop()
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
	decoder := watchDecoder{kind: kind, revision: revision, handle: handle}
	err = decoder.readAll(response.Body, func() { idleTimer.Reset(c.settings.WatchIdleTimeout.Duration()) })
	if cause := context.Cause(ctx); cause != nil {
		err = request.operation().UnavailableError(cause)
	}
	return err
}

// watchDecoder decodes the lines of a watch stream into events.
type watchDecoder struct {
	kind     bulrushchute.Kind
	revision uint64
	handle   func(bulrushchute.StoreEvent)
}

// readAll decodes lines until the stream ends and calls onLine for each.
func (wd *watchDecoder) readAll(body io.Reader, onLine func()) error {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxWatchLineBytes)
	for scanner.Scan() {
		onLine()
		if err := wd.readLine(scanner.Bytes()); err != nil {
			return err
		}
	}
	cause := scanner.Err()
	if cause == nil {
		cause = errWatchStreamEnded
	}
	return &bulrushchute.UnavailableError{Operation: string(VerbWatch), Cause: cause}
}

func (wd *watchDecoder) readLine(line []byte) error {
	var event wireEvent
	err := json.Unmarshal(line, &event)
	if err != nil {
		err = event.split(line)
	}
	if err != nil {
		return &bulrushchute.UnavailableError{Operation: string(VerbWatch), Cause: err}
	}
	switch event.Type {
	case eventAdded, eventModified, eventDeleted:
		return wd.handleObjectEvent(event)
	case eventError:
		return wd.decodeErrorEvent(event)
	default:
		// Ignore bookmarks, and event types that later versions of the store may add.
		return nil
	}
}

func (wd *watchDecoder) handleObjectEvent(event wireEvent) error {
	object, err := decodeObject(event.Object)
	if err != nil {
		return &bulrushchute.UnavailableError{Operation: string(VerbWatch), Cause: err}
	}
	object.Kind = wd.kind
	deleted := event.Type == eventDeleted
	if deleted {
		object.Value, object.Unreadable = nil, false
	}
	wd.revision = object.Version
	if object.Unreadable {
		return nil
	}
	wd.handle(bulrushchute.StoreEvent{Object: object, Deleted: deleted})
	return nil
}

func (wd *watchDecoder) decodeErrorEvent(event wireEvent) error {
	var status wireStatus
	if err := json.Unmarshal(event.Object, &status); err != nil {
		return &bulrushchute.UnavailableError{Operation: string(VerbWatch), Cause: errors.Wrap(err, "error event")}
	}
	if status.Code == http.StatusGone {
		return &GoneError{Kind: wd.kind, Revision: wd.revision}
	}
	cause := &StatusError{Code: status.Code, Reason: status.Reason, Message: status.Message}
	return &bulrushchute.UnavailableError{Operation: string(VerbWatch), Cause: cause}
}
