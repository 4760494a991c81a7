package bulrushstore

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"bulrushchute.example/bulrushchute"
)

// Default values of ClientSettings.
const (
	DefaultTimeout          = 2 * bulrushchute.Second
	DefaultWatchIdleTimeout = 15 * bulrushchute.Second

	maxResponseHeaderBytes = 64 << 10
	// maxResponseBytes is the maximum size of a response. The catalogue of the target
	// fleet, with 1,900 services of 4 KB each, is listed in 8 MB.
	maxResponseBytes = 16 << 20
)

// ClientSettings configure a Client.
type ClientSettings struct {
	// BaseURL is the scheme, host and port, such as http://10.0.0.1:8080.
	BaseURL string
	// Timeout bounds each call except watches.
	Timeout bulrushchute.Millis
	// WatchIdleTimeout ends a watch that received neither an event nor a
	// bookmark for this long.
	WatchIdleTimeout bulrushchute.Millis
	// TLS configures the default transport for https URLs; nil means the
	// system's root certificates.
	TLS *tls.Config
	// Transport carries all calls; nil means a default transport that only this
	// client uses.
	Transport http.RoundTripper
}

// Client implements bulrushchute.Store over HTTP. It is safe for concurrent use
// and never retries a call.
type Client struct {
	settings ClientSettings
	http     *http.Client
}

var _ bulrushchute.Store = (*Client)(nil)

// NewClient returns a client without opening a connection.
func NewClient(settings ClientSettings) *Client {
	settings.BaseURL = strings.TrimSuffix(settings.BaseURL, "/")
	if settings.Timeout == 0 {
		settings.Timeout = DefaultTimeout
	}
	if settings.WatchIdleTimeout == 0 {
		settings.WatchIdleTimeout = DefaultWatchIdleTimeout
	}
	if settings.Transport == nil {
		settings.Transport = newTransport(settings.Timeout, settings.TLS)
	}
	return &Client{settings: settings, http: NewHTTPClient(settings.Transport)}
}

func newTransport(timeout bulrushchute.Millis, config *tls.Config) *http.Transport {
	return &http.Transport{
		DialContext:            (&net.Dialer{Timeout: timeout.Duration()}).DialContext,
		TLSClientConfig:        config,
		TLSHandshakeTimeout:    timeout.Duration(),
		MaxIdleConnsPerHost:    4,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		IdleConnTimeout:        bulrushchute.Minute.Duration(),
	}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// apiRequest describes one request to the store API.
type apiRequest struct {
	verb   Verb
	method string
	// object is the object that the request concerns. It has no name for a list
	// or watch, and a value only for a create or update.
	object bulrushchute.Object
	path   string
	body   any
}

func (r apiRequest) operation() Operation {
	return Operation{Name: string(r.verb), Writes: r.verb.Writes()}
}

// Get implements bulrushchute.Store.
func (c *Client) Get(ctx context.Context, kind bulrushchute.Kind, name string) (bulrushchute.Object, error) {
	return c.doObject(ctx, apiRequest{
		verb:   VerbGet,
		method: http.MethodGet,
		object: bulrushchute.Object{Kind: kind, Name: name},
		path:   resourcePath(kind, name),
	})
}

// List implements bulrushchute.Store.
func (c *Client) List(ctx context.Context, kind bulrushchute.Kind) ([]bulrushchute.Object, uint64, error) {
	var list receivedList
	err := c.do(ctx, apiRequest{
		verb:   VerbList,
		method: http.MethodGet,
		object: bulrushchute.Object{Kind: kind},
		path:   resourcePath(kind, ""),
	}, &list)
	if err != nil {
		return nil, 0, err
	}
	revision, err := parseVersion(list.Metadata.ResourceVersion)
	if err != nil {
		return nil, 0, &bulrushchute.UnavailableError{Operation: string(VerbList), Cause: err}
	}
	objects := make([]bulrushchute.Object, 0, len(list.Items))
	for _, item := range list.Items {
		object, err := decodeObject(item)
		if err != nil {
			return nil, 0, &bulrushchute.UnavailableError{Operation: string(VerbList), Cause: err}
		}
		object.Kind = kind
		objects = append(objects, object)
	}
	return objects, revision, nil
}

// Create implements bulrushchute.Store.
func (c *Client) Create(ctx context.Context, object bulrushchute.Object) (bulrushchute.Object, error) {
	return c.write(ctx, VerbCreate, http.MethodPost, resourcePath(object.Kind, ""), object)
}

// Update implements bulrushchute.Store.
func (c *Client) Update(ctx context.Context, object bulrushchute.Object) (bulrushchute.Object, error) {
	return c.write(ctx, VerbUpdate, http.MethodPut, resourcePath(object.Kind, object.Name), object)
}

// Delete implements bulrushchute.Store.
func (c *Client) Delete(ctx context.Context, object bulrushchute.Object) error {
	if _, err := normalizeObject(VerbDelete, object); err != nil {
		return err
	}
	options := wireDeleteOptions{Preconditions: wireMetadata{ResourceVersion: formatVersion(object.Version)}}
	var status wireStatus
	return c.do(ctx, apiRequest{
		verb:   VerbDelete,
		method: http.MethodDelete,
		object: object,
		path:   resourcePath(object.Kind, object.Name),
		body:   options,
	}, &status)
}

func (c *Client) write(ctx context.Context, verb Verb, method, path string, object bulrushchute.Object) (bulrushchute.Object, error) {
	object, err := normalizeObject(verb, object)
	if err != nil {
		return bulrushchute.Object{}, err
	}
	body := toWire(object)
	if verb == VerbCreate {
		body.Metadata.ResourceVersion = ""
	}
	return c.doObject(ctx, apiRequest{verb: verb, method: method, object: object, path: path, body: body})
}

// doObject sends a request and decodes the response as a single object.
func (c *Client) doObject(ctx context.Context, request apiRequest) (bulrushchute.Object, error) {
	var wire wireObject
	if err := c.do(ctx, request, &wire); err != nil {
		return bulrushchute.Object{}, err
	}
	object, err := wire.object()
	if err != nil || object.Version == 0 || object.Name != request.object.Name {
		return bulrushchute.Object{}, request.operation().UnknownOutcomeError(errors.New("answer names another object or no version"))
	}
	object.Kind = request.object.Kind
	return object, nil
}

// do sends a request and decodes the response body into result.
func (c *Client) do(ctx context.Context, request apiRequest, result any) error {
	ctx, cancel := context.WithTimeout(ctx, c.settings.Timeout.Duration())
	defer cancel()
	response, err := c.send(ctx, request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusMultipleChoices {
		return request.responseError(response)
	}
	data, err := io.ReadAll(http.MaxBytesReader(nil, response.Body, maxResponseBytes))
	if err == nil {
		err = json.Unmarshal(data, result)
		if list, ok := result.(*receivedList); ok && err != nil {
			err = list.split(data)
		}
	}
	if err != nil {
		return request.operation().UnknownOutcomeError(err)
	}
	return nil
}

// send encodes a request and performs the HTTP round trip.
func (c *Client) send(ctx context.Context, request apiRequest) (*http.Response, error) {
	var body io.Reader
	if request.body != nil {
		data, err := encode(request.body)
		if err != nil {
			return nil, request.operation().UnavailableError(err)
		}
		body = bytes.NewReader(data)
	}
	httpRequest, err := http.NewRequestWithContext(ctx, request.method, c.settings.BaseURL+request.path, body)
	if err != nil {
		return nil, request.operation().UnavailableError(err)
	}
	httpRequest.Header.Set("Content-Type", contentType)
	httpRequest.Header.Set("Accept", contentType)
	return request.operation().Send(c.http, httpRequest)
}

// responseError maps a response with an error status to an error. A 5xx status
// without one of the store's reasons may come from a proxy that has already
// forwarded the write, so its outcome is unknown.
func (r apiRequest) responseError(response *http.Response) error {
	var status wireStatus
	data, readErr := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
	if readErr != nil || json.Unmarshal(data, &status) != nil {
		status = wireStatus{}
	}
	cause := &StatusError{Code: response.StatusCode, Reason: status.Reason, Message: status.Message}
	switch {
	case response.StatusCode == http.StatusNotFound:
		return &bulrushchute.NotFoundError{Kind: r.object.Kind, Name: r.object.Name}
	case response.StatusCode == http.StatusConflict && status.Reason == reasonAlreadyExists:
		return &bulrushchute.ExistsError{Kind: r.object.Kind, Name: r.object.Name}
	case response.StatusCode == http.StatusConflict && r.verb == VerbCreate && status.Reason == "":
		return &bulrushchute.ExistsError{Kind: r.object.Kind, Name: r.object.Name}
	case response.StatusCode == http.StatusConflict:
		return &bulrushchute.ConflictError{Kind: r.object.Kind, Name: r.object.Name, Version: r.object.Version}
	case response.StatusCode == http.StatusRequestEntityTooLarge:
		return tooLargeError(len(r.object.Value))
	case status.Reason == reasonServiceUnavailable || status.Reason == reasonTooManyRequests:
		return r.operation().UnavailableError(cause)
	case response.StatusCode >= http.StatusInternalServerError:
		return r.operation().UnknownOutcomeError(cause)
	default:
		return r.operation().UnavailableError(cause)
	}
}
