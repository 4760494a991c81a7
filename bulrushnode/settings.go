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

// Settings is what a node is told at its start: addresses and its data
// centre. Everything else comes from the catalogue and the other nodes.
type Settings struct {
	DataCentre bulrushchute.DataCentre `json:"data_centre"`
	// CallerAddress accepts HTTP requests from callers.
	CallerAddress bulrushchute.Address `json:"caller_address"`
	// PeerAddress accepts connections from other nodes.
	PeerAddress bulrushchute.Address `json:"peer_address"`
	// OperatorAddress serves status and metrics, and the announcements of the
	// backend server.
	OperatorAddress bulrushchute.Address `json:"operator_address"`
	// BackendAddress is the only address from which an announcement is accepted,
	// by IP number.
	BackendAddress bulrushchute.Address `json:"backend_address"`
	// Service is the backend server's service until its first announcement.
	Service bulrushchute.Service `json:"service,omitempty"`
	// WithoutKeys leaves out the homes of idempotency keys. Requests that bring
	// a key are then served like others.
	WithoutKeys bool `json:"without_keys,omitempty"`
	// ServeIsolated lets a node that reaches no peer serve what it can. It may then
	// act on a catalogue that has changed meanwhile.
	ServeIsolated bool `json:"serve_isolated,omitempty"`
	// FirstStart is set when the whole fleet starts for the first time, so that
	// the store lists no nodes yet.
	FirstStart bool `json:"first_start,omitempty"`
	// HomeBias is how many times longer, less one, a backend server of the own
	// data centre may be expected to take and still be preferred to others.
	// Bytes between data centres cost more than those inside.
	HomeBias float64 `json:"home_bias,omitempty"`
	// RetryRatio bounds the attempts beyond the first that reach a service, for
	// each of its requests. 0 takes the default of 0.1.
	RetryRatio float64 `json:"retry_ratio,omitempty"`
	// RetrySlack is the number of such attempts that all nodes together may send
	// at once. 0 gives each node a burst of its own, whatever the others do.
	RetrySlack float64 `json:"retry_slack,omitempty"`
	// GraceMs is how long a node may take to end once it was told to.
	GraceMs bulrushchute.Millis `json:"grace_ms,omitempty"`
	// StoreURL is the base URL of the object store.
	StoreURL string `json:"store_url"`
	// SeedAddresses are peer addresses that a node tries before the store's list.
	SeedAddresses []bulrushchute.Address `json:"seed_addresses,omitempty"`
	// ClockSkewMs bounds the difference between the clocks of any two nodes.
	ClockSkewMs bulrushchute.Millis `json:"clock_skew_ms,omitempty"`
	// TrustTenantHeader takes a caller's tenant from the Bulrush-Tenant header.
	// Without it the tenant comes from the caller's TLS certificate.
	TrustTenantHeader bool `json:"trust_tenant_header,omitempty"`
	// TLS switches on TLS with mutual authentication.
	TLS TLSSettings `json:"tls,omitzero"`
}

// DefaultClockSkewMs is used when the settings leave clock_skew_ms out.
const DefaultClockSkewMs = bulrushchute.Second

// DefaultGraceMs is above the longest timeout that the catalogue gives by default.
const DefaultGraceMs = bulrushchute.Minute

// minGraceMs leaves time for the notice to peers.
const minGraceMs = 3 * bulrushchute.Second

// maxClockSkewMs keeps the wait of a key takeover, which is twice the skew, short.
const maxClockSkewMs = 10 * bulrushchute.Second

// ParseSettings reads settings from JSON and checks them.
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

// Validate reports the first setting that is not allowed as a
// *bulrushchute.FieldError.
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

// checkAddress allows IP numbers only: nodes have no name service.
func checkAddress(field string, address bulrushchute.Address) error {
	problem := &bulrushchute.FieldError{Field: field, Value: string(address), Allowed: "an IP number and a port, as in 10.0.0.1:7000"}
	host, port, err := net.SplitHostPort(string(address))
	if err != nil || net.ParseIP(host) == nil {
		return problem
	}
	if number, err := strconv.Atoi(port); err != nil || number < 1 || number > 65535 {
		return problem
	}
	return nil
}

// equal reports whether two settings are the same.
func (s Settings) equal(other Settings) bool {
	return reflect.DeepEqual(s, other)
}
