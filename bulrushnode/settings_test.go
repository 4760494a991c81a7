package bulrushnode

import (
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
)

const validSettingsPrefix = `{"data_centre":"ub-1","caller_address":"10.0.0.1:7000","peer_address":"10.0.0.1:7001",
"operator_address":"10.0.0.1:7002","backend_address":"10.0.0.1:9000","store_url":"http://10.0.0.9:7400"`

// Guards against invalid settings that are accepted, and against errors that do
// not name the field.
func TestParseSettings(t *testing.T) {
	cases := map[string]struct {
		data      string
		wantField string
	}{
		"valid":                {validSettingsPrefix + `}`, ""},
		"seed with host name":  {validSettingsPrefix + `,"seed_addresses":["node.example:7001"]}`, "seed_addresses[0]"},
		"port out of range":    {validSettingsPrefix + `,"seed_addresses":["10.0.0.1:70000"]}`, "seed_addresses[0]"},
		"clock skew too large": {validSettingsPrefix + `,"clock_skew_ms":60000}`, "clock_skew_ms"},
		"no read-ahead":        {validSettingsPrefix + `,"read_ahead_requests":-1}`, "read_ahead_requests"},
		"read-ahead too large": {validSettingsPrefix + `,"read_ahead_bytes":100000000}`, "read_ahead_bytes"},
		"cold rate too high":   {validSettingsPrefix + `,"cold_rate_factor":11}`, "cold_rate_factor"},
		"no data centre":       {`{"store_url":"http://x"}`, "data_centre"},
		"no store":             {`{"data_centre":"ub-1"}`, "store_url"},
		"address without port": {`{"data_centre":"ub-1","store_url":"x","caller_address":"10.0.0.1"}`, "caller_address"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := ParseSettings([]byte(tc.data))
			if tc.wantField == "" {
				assert.NilError(t, err)
				return
			}
			var field *bulrushchute.FieldError
			assert.Assert(t, errors.As(err, &field), "got %v", err)
			assert.Equal(t, field.Field, tc.wantField)
		})
	}
	_, err := ParseSettings([]byte(validSettingsPrefix + `,"colour":"red"}`))
	assert.ErrorContains(t, err, `unknown field "colour"`)
}

// Guards against invalid announcements, and against announcements that would
// connect the node to a backend server on another host.
func TestParseAnnouncement(t *testing.T) {
	cases := map[string]struct {
		data      string
		wantField string
	}{
		"valid":          {`{"service":"board","address":"10.0.0.1:9000","slots":10}`, ""},
		"no service":     {`{"address":"10.0.0.1:9000"}`, "service"},
		"other host":     {`{"service":"board","address":"10.0.0.2:9000"}`, "address"},
		"negative slots": {`{"service":"board","address":"10.0.0.1:9000","slots":-1}`, "slots"},
		"unknown state":  {`{"service":"board","address":"10.0.0.1:9000","state":"tired"}`, "state"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			announcement, err := ParseAnnouncement([]byte(tc.data))
			if err == nil {
				err = announcement.checkHost("10.0.0.1:9000")
			}
			if tc.wantField == "" {
				assert.NilError(t, err)
				return
			}
			var field *bulrushchute.FieldError
			assert.Assert(t, errors.As(err, &field), "got %v", err)
			assert.Equal(t, field.Field, tc.wantField)
		})
	}
}
