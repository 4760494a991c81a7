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

// Names of the published protocol (Kubernetes API conventions).
const (
	apiVersion = "bulrushchute.example/v1"
	apiPath    = "/apis/" + apiVersion + "/"
	// maxBodyBytes leaves room for the metadata around the largest value.
	maxBodyBytes = bulrushchute.MaxObjectBytes + 64<<10
	statusKind   = "Status"
	contentType  = "application/json"
)

// Reasons in a Status.
const (
	reasonNotFound    = "NotFound"
	reasonExists      = "AlreadyExists"
	reasonConflict    = "Conflict"
	reasonGone        = "Expired"
	reasonTooLarge    = "RequestEntityTooLarge"
	reasonTooMany     = "TooManyRequests"
	reasonUnavailable = "ServiceUnavailable"
	reasonInvalid     = "Invalid"
	reasonMethod      = "MethodNotAllowed"
	reasonInternal    = "InternalError"
)

// Types of watch events.
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

type wireDeleteOptions struct {
	Preconditions wireMetadata `json:"preconditions"`
}

func wireOf(object bulrushchute.Object) wireObject {
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

// formatVersion leaves out version 0, which no stored object has.
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

func newStatus(code int, reason, message string) wireStatus {
	return wireStatus{
		APIVersion: "v1",
		Kind:       statusKind,
		Status:     "Failure",
		Reason:     reason,
		Message:    message,
		Code:       code,
	}
}

// statusOf translates an error of a Memory. An ambiguous error has no status,
// because its answer is lost.
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
		return newStatus(http.StatusNotFound, reasonNotFound, err.Error())
	case errors.As(err, &exists):
		return newStatus(http.StatusConflict, reasonExists, err.Error())
	case errors.As(err, &conflict):
		return newStatus(http.StatusConflict, reasonConflict, err.Error())
	case errors.As(err, &gone):
		return newStatus(http.StatusGone, reasonGone, err.Error())
	case errors.As(err, &unavailable):
		return newStatus(http.StatusServiceUnavailable, reasonUnavailable, err.Error())
	case errors.As(err, &field):
		return newStatus(http.StatusUnprocessableEntity, reasonInvalid, err.Error())
	default:
		return newStatus(http.StatusInternalServerError, reasonInternal, err.Error())
	}
}

func pathOf(kind bulrushchute.Kind, name string) string {
	path := apiPath + url.PathEscape(string(kind))
	if name != "" {
		path += "/" + url.PathEscape(name)
	}
	return path
}

// encode writes JSON without escaping the characters that matter only in HTML,
// so that values come back byte for byte.
func encode(value any) ([]byte, error) {
	var buffer bytes.Buffer
	encoder := json.NewEncoder(&buffer)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(value); err != nil {
		return nil, errors.Wrap(err, "encode")
	}
	return buffer.Bytes(), nil
}
