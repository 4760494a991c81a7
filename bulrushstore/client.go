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

// Defaults of ClientSettings.
const (
	DefaultTimeout   = 2 * bulrushchute.Second
	DefaultWatchIdle = 15 * bulrushchute.Second
)

// ClientSettings describe a connection to the store.
type ClientSettings struct {
	// BaseURL is the scheme and host, such as http://10.0.0.1:8080.
	BaseURL string
	// Timeout bounds each call but watches.
	Timeout bulrushchute.Millis
	// WatchIdle ends a watch on which nothing came, not even a bookmark.
	WatchIdle bulrushchute.Millis
	// TLS is used for an https URL by the client's own transport; nil means the
	// system's roots.
	TLS *tls.Config
	// Transport carries all calls; nil means a transport of the client's own.
	Transport http.RoundTripper
}

// Client is a bulrushchute.Store over HTTP. It is safe for concurrent use and
// never repeats a call.
type Client struct {
	settings ClientSettings
	http     *http.Client
}

var _ bulrushchute.Store = (*Client)(nil)

// NewClient returns a client. It opens no connection yet.
func NewClient(settings ClientSettings) *Client {
	settings.BaseURL = strings.TrimSuffix(settings.BaseURL, "/")
	if settings.Timeout == 0 {
		settings.Timeout = DefaultTimeout
	}
	if settings.WatchIdle == 0 {
		settings.WatchIdle = DefaultWatchIdle
	}
	if settings.Transport == nil {
		settings.Transport = newTransport(settings.Timeout, settings.TLS)
	}
	return &Client{settings: settings, http: NewHTTPClient(settings.Transport)}
}

func newTransport(timeout bulrushchute.Millis, config *tls.Config) *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: timeout.Duration()}).DialContext,
		TLSClientConfig:     config,
		TLSHandshakeTimeout: timeout.Duration(),
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     bulrushchute.Minute.Duration(),
	}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// call is one request to the store.
type call struct {
	verb   Verb
	method string
	object bulrushchute.Object
	path   string
	body   any
}

func (r call) operation() Operation {
	return Operation{Name: string(r.verb), Writes: r.verb.Writes()}
}

// Get implements bulrushchute.Store.
func (c *Client) Get(ctx context.Context, kind bulrushchute.Kind, name string) (bulrushchute.Object, error) {
	return c.object(ctx, call{
		verb:   VerbGet,
		method: http.MethodGet,
		object: bulrushchute.Object{Kind: kind, Name: name},
		path:   pathOf(kind, name),
	})
}

// List implements bulrushchute.Store.
func (c *Client) List(ctx context.Context, kind bulrushchute.Kind) ([]bulrushchute.Object, uint64, error) {
	var list wireList
	err := c.do(ctx, call{
		verb:   VerbList,
		method: http.MethodGet,
		object: bulrushchute.Object{Kind: kind},
		path:   pathOf(kind, ""),
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
		object, err := item.object()
		if err != nil {
			return nil, 0, &bulrushchute.UnavailableError{Operation: string(VerbList), Cause: err}
		}
		objects = append(objects, object)
	}
	return objects, revision, nil
}

// Create implements bulrushchute.Store.
func (c *Client) Create(ctx context.Context, object bulrushchute.Object) (bulrushchute.Object, error) {
	return c.write(ctx, VerbCreate, http.MethodPost, pathOf(object.Kind, ""), object)
}

// Update implements bulrushchute.Store.
func (c *Client) Update(ctx context.Context, object bulrushchute.Object) (bulrushchute.Object, error) {
	return c.write(ctx, VerbUpdate, http.MethodPut, pathOf(object.Kind, object.Name), object)
}

// Delete implements bulrushchute.Store.
func (c *Client) Delete(ctx context.Context, object bulrushchute.Object) error {
	if _, err := checkObject(VerbDelete, object); err != nil {
		return err
	}
	options := wireDeleteOptions{Preconditions: wireMetadata{ResourceVersion: formatVersion(object.Version)}}
	var status wireStatus
	return c.do(ctx, call{
		verb:   VerbDelete,
		method: http.MethodDelete,
		object: object,
		path:   pathOf(object.Kind, object.Name),
		body:   options,
	}, &status)
}

func (c *Client) write(ctx context.Context, verb Verb, method, path string, object bulrushchute.Object) (bulrushchute.Object, error) {
	object, err := checkObject(verb, object)
	if err != nil {
		return bulrushchute.Object{}, err
	}
	body := wireOf(object)
	if verb == VerbCreate {
		body.Metadata.ResourceVersion = ""
	}
	return c.object(ctx, call{verb: verb, method: method, object: object, path: path, body: body})
}

// object makes a call whose answer is one object.
func (c *Client) object(ctx context.Context, request call) (bulrushchute.Object, error) {
	var wire wireObject
	if err := c.do(ctx, request, &wire); err != nil {
		return bulrushchute.Object{}, err
	}
	object, err := wire.object()
	if err != nil || object.Version == 0 || object.Name != request.object.Name {
		return bulrushchute.Object{}, request.operation().Unknown(errors.New("answer names another object or no version"))
	}
	object.Kind = request.object.Kind
	return object, nil
}

// do makes a call and decodes its answer.
func (c *Client) do(ctx context.Context, request call, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, c.settings.Timeout.Duration())
	defer cancel()
	response, err := c.send(ctx, request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusMultipleChoices {
		return request.refused(response)
	}
	data, err := io.ReadAll(response.Body)
	if err == nil {
		err = json.Unmarshal(data, answer)
	}
	if err != nil {
		return request.operation().Unknown(err)
	}
	return nil
}

// send makes the HTTP exchange.
func (c *Client) send(ctx context.Context, request call) (*http.Response, error) {
	var body io.Reader
	if request.body != nil {
		data, err := encode(request.body)
		if err != nil {
			return nil, request.operation().Unsent(err)
		}
		body = bytes.NewReader(data)
	}
	message, err := http.NewRequestWithContext(ctx, request.method, c.settings.BaseURL+request.path, body)
	if err != nil {
		return nil, request.operation().Unsent(err)
	}
	message.Header.Set("Content-Type", contentType)
	message.Header.Set("Accept", contentType)
	return request.operation().Send(c.http, message)
}

// refused classifies an answer with an error status. A status 5xx without the
// store's own reason may come from a proxy that had passed the write on.
func (r call) refused(response *http.Response) error {
	var status wireStatus
	data, readErr := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
	if readErr != nil || json.Unmarshal(data, &status) != nil {
		status = wireStatus{}
	}
	cause := &StatusError{Code: response.StatusCode, Reason: status.Reason, Message: status.Message}
	switch {
	case response.StatusCode == http.StatusNotFound:
		return &bulrushchute.NotFoundError{Kind: r.object.Kind, Name: r.object.Name}
	case response.StatusCode == http.StatusConflict && status.Reason == reasonExists:
		return &bulrushchute.ExistsError{Kind: r.object.Kind, Name: r.object.Name}
	case response.StatusCode == http.StatusConflict && r.verb == VerbCreate && status.Reason == "":
		return &bulrushchute.ExistsError{Kind: r.object.Kind, Name: r.object.Name}
	case response.StatusCode == http.StatusConflict:
		return &bulrushchute.ConflictError{Kind: r.object.Kind, Name: r.object.Name, Version: r.object.Version}
	case response.StatusCode == http.StatusRequestEntityTooLarge:
		return tooLargeError(len(r.object.Value))
	case status.Reason == reasonUnavailable || status.Reason == reasonTooMany:
		return r.operation().Unsent(cause)
	case response.StatusCode >= http.StatusInternalServerError:
		return r.operation().Unknown(cause)
	default:
		return r.operation().Unsent(cause)
	}
}
