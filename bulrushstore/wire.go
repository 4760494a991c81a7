package bulrushstore

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"github.com/pkg/errors"

	"bulrushchute.example/bulrushchute"
)

// Constants of the published protocol, which follows the Kubernetes API
// conventions.
const (
	apiVersion = "bulrushchute.example/v1"
	apiPath    = "/apis/" + apiVersion + "/"
	// maxBodyBytes leaves 64 KiB for the metadata around the largest value.
	maxBodyBytes = bulrushchute.MaxObjectBytes + 64<<10
	statusKind   = "Status"
	contentType  = "application/json"
)

// Values of the reason field of a Status.
const (
	reasonNotFound              = "NotFound"
	reasonAlreadyExists         = "AlreadyExists"
	reasonConflict              = "Conflict"
	reasonExpired               = "Expired"
	reasonRequestEntityTooLarge = "RequestEntityTooLarge"
	reasonTooManyRequests       = "TooManyRequests"
	reasonServiceUnavailable    = "ServiceUnavailable"
	reasonInvalid               = "Invalid"
	reasonMethodNotAllowed      = "MethodNotAllowed"
	reasonInternalError         = "InternalError"
)

// Values of the type field of a watch event.
const (
	eventAdded    = "ADDED"
	eventModified = "MODIFIED"
	eventDeleted  = "DELETED"
	eventBookmark = "BOOKMARK"
	eventError    = "ERROR"
)

type wireMetadata struct {
	Name            string `json:"name,omitempty"`
	ResourceVersion string `json:"resourceVersion,omitempty"`
}

type wireObject struct {
	APIVersion string            `json:"apiVersion"`
	Kind       bulrushchute.Kind `json:"kind"`
	Metadata   wireMetadata      `json:"metadata"`
	Spec       json.RawMessage   `json:"spec,omitempty"`
}

type wireList struct {
	APIVersion string            `json:"apiVersion"`
	Kind       bulrushchute.Kind `json:"kind"`
	Metadata   wireMetadata      `json:"metadata"`
	Items      []wireObject      `json:"items"`
}

// wireStatus follows the Status object of the Kubernetes core API, which has the
// API version v1.
type wireStatus struct {
	APIVersion string `json:"apiVersion"`
	Kind       string `json:"kind"`
	Status     string `json:"status"`
	Reason     string `json:"reason"`
	Message    string `json:"message"`
	Code       int    `json:"code"`
}

type wireEvent struct {
	Type   string          `json:"type"`
	Object json.RawMessage `json:"object"`
}

// receivedList is a wireList whose items are not decoded yet.
type receivedList struct {
	Metadata wireMetadata      `json:"metadata"`
	Items    []json.RawMessage `json:"items"`
}

// split decodes a list that json.Unmarshal rejects because of one of its values.
func (l *receivedList) split(data []byte) error {
	members, err := SplitObject(data)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(members["metadata"], &l.Metadata); err != nil {
		return err
	}
	l.Items, err = SplitArray(members["items"])
	return err
}

// split is that of a receivedList.
func (e *wireEvent) split(data []byte) error {
	members, err := SplitObject(data)
	if err != nil {
		return err
	}
	e.Object = members["object"]
	return json.Unmarshal(members["type"], &e.Type)
}

// decodeObject decodes an object. If only its value cannot be decoded, it returns the
// object as unreadable.
func decodeObject(data []byte) (bulrushchute.Object, error) {
	var wire wireObject
	decodeErr := json.Unmarshal(data, &wire)
	if decodeErr == nil {
		return wire.object()
	}
	members, err := SplitObject(data)
	if err != nil {
		return bulrushchute.Object{}, err
	}
	wire = wireObject{}
	if err := json.Unmarshal(members["metadata"], &wire.Metadata); err != nil {
		return bulrushchute.Object{}, err
	}
	object, err := wire.object()
	if err != nil || object.Name == "" || object.Version == 0 {
		return bulrushchute.Object{}, decodeErr
	}
	object.Unreadable = true
	return object, nil
}

type wireDeleteOptions struct {
	Preconditions wireMetadata `json:"preconditions"`
}

func toWire(object bulrushchute.Object) wireObject {
	return wireObject{
		APIVersion: apiVersion,
		Kind:       object.Kind,
		Metadata:   wireMetadata{Name: object.Name, ResourceVersion: formatVersion(object.Version)},
		Spec:       object.Value,
	}
}

func (w wireObject) object() (bulrushchute.Object, error) {
	version, err := parseVersion(w.Metadata.ResourceVersion)
	if err != nil {
		return bulrushchute.Object{}, err
	}
	return bulrushchute.Object{Kind: w.Kind, Name: w.Metadata.Name, Version: version, Value: w.Spec}, nil
}

// formatVersion returns an empty string for version 0, which no stored object
// has, so that the field is omitted.
func formatVersion(version uint64) string {
	if version == 0 {
		return ""
	}
	return strconv.FormatUint(version, 10)
}

func parseVersion(text string) (uint64, error) {
	if text == "" {
		return 0, nil
	}
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, &bulrushchute.FieldError{Field: "resourceVersion", Value: text, Allowed: "a decimal number"}
	}
	return version, nil
}

func newFailure(code int, reason, message string) wireStatus {
	return wireStatus{
		APIVersion: "v1",
		Kind:       statusKind,
		Status:     "Failure",
		Reason:     reason,
		Message:    message,
		Code:       code,
	}
}

// statusOf returns the Status for an error of a Memory. It has no case for
// *bulrushchute.AmbiguousError, because the response to such a call is lost.
func statusOf(err error) wireStatus {
	var (
		notFound    *bulrushchute.NotFoundError
		exists      *bulrushchute.ExistsError
		conflict    *bulrushchute.ConflictError
		unavailable *bulrushchute.UnavailableError
		gone        *GoneError
		field       *bulrushchute.FieldError
	)
	switch {
	case errors.As(err, &notFound):
		return newFailure(http.StatusNotFound, reasonNotFound, err.Error())
	case errors.As(err, &exists):
		return newFailure(http.StatusConflict, reasonAlreadyExists, err.Error())
	case errors.As(err, &conflict):
		return newFailure(http.StatusConflict, reasonConflict, err.Error())
	case errors.As(err, &gone):
		return newFailure(http.StatusGone, reasonExpired, err.Error())
	case errors.As(err, &unavailable):
		return newFailure(http.StatusServiceUnavailable, reasonServiceUnavailable, err.Error())
	case errors.As(err, &field):
		return newFailure(http.StatusUnprocessableEntity, reasonInvalid, err.Error())
	default:
		return newFailure(http.StatusInternalServerError, reasonInternalError, err.Error())
	}
}

func resourcePath(kind bulrushchute.Kind, name string) string {
	path := apiPath + url.PathEscape(string(kind))
	if name != "" {
		path += "/" + url.PathEscape(name)
	}
	return path
}

// encode returns the JSON encoding of a value without HTML escaping, so that
// stored values are returned byte for byte.
func encode(value any) ([]byte, error) {
	var buffer bytes.Buffer
	encoder := json.NewEncoder(&buffer)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(value); err != nil {
		return nil, errors.Wrap(err, "encode")
	}
	return buffer.Bytes(), nil
}
