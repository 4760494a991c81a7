package bulrushnode

import (
	"bytes"
	"encoding/json"
	"net"
	"reflect"
	"strconv"

	"github.com/pkg/errors"

	"bulrushchute.example/bulrushchute"
)

// Settings configure a node at its start, mainly its addresses and its data
// centre. All other configuration comes from the catalogue and the other nodes.
type Settings struct {
	DataCentre bulrushchute.DataCentre `json:"data_centre"`
	// CallerAddress is the address on which the node accepts HTTP requests from
	// callers.
	CallerAddress bulrushchute.Address `json:"caller_address"`
	// PeerAddress is the address on which the node accepts connections from other
	// nodes.
	PeerAddress bulrushchute.Address `json:"peer_address"`
	// OperatorAddress is the address on which the node serves its status and metrics
	// and accepts the announcements of the backend server.
	OperatorAddress bulrushchute.Address `json:"operator_address"`
	// BackendAddress is the address of the backend server. An announcement is
	// accepted only if it names the same IP address.
	BackendAddress bulrushchute.Address `json:"backend_address"`
	// Service is the service of the backend server. Announcements of another service
	// are refused. If it is empty, the announcements state the service.
	Service bulrushchute.Service `json:"service,omitempty"`
	// WithoutKeys disables the homes of idempotency keys. Requests with a key are
	// then served like requests without one.
	WithoutKeys bool `json:"without_keys,omitempty"`
	// ServeIsolated makes a node that reaches no peer continue to serve requests. It
	// may then use an outdated catalogue.
	ServeIsolated bool `json:"serve_isolated,omitempty"`
	// FirstStart is set when the whole fleet starts for the first time, in which
	// case the store lists no nodes yet.
	FirstStart bool `json:"first_start,omitempty"`
	// HomeBias is the preference for backend servers of the node's own data centre,
	// because traffic between data centres costs more. With 0.5, such a server is
	// preferred until it is expected to take 1.5 times as long as a remote one.
	HomeBias float64 `json:"home_bias,omitempty"`
	// RetryRatio limits the ratio of retries and hedges to the requests of a
	// service. Three quarters of it are for retries after a failure or a refusal by
	// the backend server itself, one quarter is for hedges. Retries after other
	// refusals, and after attempts that were not sent, have a fixed limit. 0 selects
	// the defaults, 0.1 for retries and 0.05 for hedges.
	RetryRatio float64 `json:"retry_ratio,omitempty"`
	// RetrySlack is the number of retries and hedges limited by RetryRatio that all
	// nodes together may send in a burst. With 0, each node has a burst of its own,
	// independent of the others.
	RetrySlack float64 `json:"retry_slack,omitempty"`
	// ColdRateFactor is the multiple of a cold backend server's stated rate that it
	// receives in any second at most. 0 selects the default, 1.25.
	ColdRateFactor float64 `json:"cold_rate_factor,omitempty"`
	// ExposureRatio and ExposureSlack limit the requests that the new version of an
	// ordered move receives before it gets all of them: the ratio to the service's
	// requests since the order, and the number beyond it. With both 0, the defaults
	// of bulrushmove.ExposureLimit apply.
	ExposureRatio float64 `json:"exposure_ratio,omitempty"`
	ExposureSlack float64 `json:"exposure_slack,omitempty"`
	// ReadAheadRequests and ReadAheadBytes limit the pipelined requests that are read
	// from a caller's connection before the oldest response has been sent: their
	// number, and the bytes of their bodies. 0 selects the defaults.
	ReadAheadRequests int `json:"read_ahead_requests,omitempty"`
	ReadAheadBytes    int `json:"read_ahead_bytes,omitempty"`
	// CallerMemoryBytes is the memory that requests of callers may take together while they
	// are read and run, besides 16 KiB for each connection. 0 selects the default.
	CallerMemoryBytes int64 `json:"caller_memory_bytes,omitempty"`
	// MaxCallerConnections limits the open connections of callers. 0 selects the default.
	MaxCallerConnections int `json:"max_caller_connections,omitempty"`
	// GraceMs is the maximum time that a node may take to shut down.
	GraceMs bulrushchute.Millis `json:"grace_ms,omitempty"`
	// StoreURL is the base URL of the object store.
	StoreURL string `json:"store_url"`
	// SeedAddresses are peer addresses that a node tries before those listed in the
	// store.
	SeedAddresses []bulrushchute.Address `json:"seed_addresses,omitempty"`
	// ClockSkewMs is the maximum difference between the clocks of any two nodes.
	ClockSkewMs bulrushchute.Millis `json:"clock_skew_ms,omitempty"`
	// TrustTenantHeader takes a caller's tenant from the Bulrush-Tenant header.
	// Without it the tenant comes from the caller's TLS certificate.
	TrustTenantHeader bool `json:"trust_tenant_header,omitempty"`
	// TLS enables TLS with mutual authentication.
	TLS TLSSettings `json:"tls,omitzero"`
}

// DefaultClockSkewMs is used if the settings do not contain clock_skew_ms.
const DefaultClockSkewMs = bulrushchute.Second

// DefaultGraceMs is used if the settings do not contain grace_ms. It is longer than
// the longest default timeout of the catalogue.
const DefaultGraceMs = bulrushchute.Minute

// Defaults and upper limits of read_ahead_requests and read_ahead_bytes.
const (
	DefaultReadAheadRequests = 16
	maxReadAheadRequests     = 1024
	DefaultReadAheadBytes    = 256 << 10
	maxReadAheadBytes        = 64 << 20
)

// maxColdRateFactor guards against a factor that disables the limit.
const maxColdRateFactor = 10

// minGraceMs leaves enough time to inform the peers before the shutdown.
const minGraceMs = 3 * bulrushchute.Second

// maxClockSkewMs limits the wait of a key takeover, which is twice the skew.
const maxClockSkewMs = 10 * bulrushchute.Second

// ParseSettings parses settings from JSON, sets defaults and validates the result.
func ParseSettings(data []byte) (Settings, error) {
	var settings Settings
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&settings); err != nil {
		return Settings{}, errors.Wrap(err, "parse settings")
	}
	if settings.GraceMs == 0 {
		settings.GraceMs = DefaultGraceMs
	}
	if settings.ClockSkewMs == 0 {
		settings.ClockSkewMs = DefaultClockSkewMs
	}
	return settings, settings.Validate()
}

// Validate returns a *bulrushchute.FieldError for the first invalid setting.
func (s Settings) Validate() error {
	if s.DataCentre == "" {
		return &bulrushchute.FieldError{Field: "data_centre", Allowed: "the name of the node's data centre"}
	}
	if s.StoreURL == "" {
		return &bulrushchute.FieldError{Field: "store_url", Allowed: "the base URL of the object store"}
	}
	if s.ClockSkewMs < 0 || s.ClockSkewMs > maxClockSkewMs {
		return &bulrushchute.FieldError{Field: "clock_skew_ms", Value: strconv.Itoa(int(s.ClockSkewMs)), Allowed: "1 to 10000"}
	}
	if s.GraceMs < minGraceMs {
		return &bulrushchute.FieldError{Field: "grace_ms", Value: strconv.Itoa(int(s.GraceMs)), Allowed: "3000 or more"}
	}
	if s.ColdRateFactor != 0 && (s.ColdRateFactor < 1 || s.ColdRateFactor > maxColdRateFactor) {
		value := strconv.FormatFloat(s.ColdRateFactor, 'g', -1, 64)
		return &bulrushchute.FieldError{Field: "cold_rate_factor", Value: value, Allowed: "1 to 10"}
	}
	if s.ExposureRatio < 0 || s.ExposureRatio > 1 {
		value := strconv.FormatFloat(s.ExposureRatio, 'g', -1, 64)
		return &bulrushchute.FieldError{Field: "exposure_ratio", Value: value, Allowed: "0 to 1"}
	}
	if s.ExposureSlack < 0 {
		value := strconv.FormatFloat(s.ExposureSlack, 'g', -1, 64)
		return &bulrushchute.FieldError{Field: "exposure_slack", Value: value, Allowed: "0 or more requests"}
	}
	if err := checkRange("read_ahead_requests", s.ReadAheadRequests, maxReadAheadRequests); err != nil {
		return err
	}
	if err := checkRange("read_ahead_bytes", s.ReadAheadBytes, maxReadAheadBytes); err != nil {
		return err
	}
	if s.CallerMemoryBytes != 0 && (s.CallerMemoryBytes < minCallerMemory || s.CallerMemoryBytes > maxCallerMemory) {
		value := strconv.FormatInt(s.CallerMemoryBytes, 10)
		return &bulrushchute.FieldError{Field: "caller_memory_bytes", Value: value, Allowed: "1048576 to 17179869184"}
	}
	if err := checkRange("max_caller_connections", s.MaxCallerConnections, maxMaxConnections); err != nil {
		return err
	}
	if err := s.checkAddresses(); err != nil {
		return err
	}
	_, err := s.parseTLS()
	return err
}

func (s Settings) checkAddresses() error {
	fields := []struct {
		name    string
		address bulrushchute.Address
	}{
		{"caller_address", s.CallerAddress},
		{"peer_address", s.PeerAddress},
		{"operator_address", s.OperatorAddress},
		{"backend_address", s.BackendAddress},
	}
	for _, f := range fields {
		if err := checkAddress(f.name, f.address); err != nil {
			return err
		}
	}
	for i, seed := range s.SeedAddresses {
		if err := checkAddress("seed_addresses["+strconv.Itoa(i)+"]", seed); err != nil {
			return err
		}
	}
	return nil
}

// checkRange allows 0, which selects the default, to maximum.
func checkRange(field string, value, maximum int) error {
	if value >= 0 && value <= maximum {
		return nil
	}
	return &bulrushchute.FieldError{Field: field, Value: strconv.Itoa(value), Allowed: "1 to " + strconv.Itoa(maximum)}
}

// checkAddress allows only IP addresses as hosts, because nodes do not resolve
// names.
func checkAddress(field string, address bulrushchute.Address) error {
	fieldErr := &bulrushchute.FieldError{Field: field, Value: string(address), Allowed: "an IP number and a port, as in 10.0.0.1:7000"}
	host, port, err := net.SplitHostPort(string(address))
	if err != nil || net.ParseIP(host) == nil {
		return fieldErr
	}
	if portNumber, err := strconv.Atoi(port); err != nil || portNumber < 1 || portNumber > 65535 {
		return fieldErr
	}
	return nil
}

// equal reports whether two settings are the same.
func (s Settings) equal(other Settings) bool {
	return reflect.DeepEqual(s, other)
}
