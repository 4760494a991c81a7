package bulrushnode

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
)

// Guards against an odd address that hides the others, so that a node that starts finds
// no peers.
func TestOddSeedHidesTheOthers(t *testing.T) {
	cases := map[string]struct {
		value   string
		want    []bulrushchute.Address
		wantErr bool
	}{
		"valid":              {`{"addresses":["10.0.0.1:7000"]}`, []bulrushchute.Address{"10.0.0.1:7000"}, false},
		"port out of range":  {`{"addresses":["10.0.0.1:70000","10.0.0.2:7000"]}`, []bulrushchute.Address{"10.0.0.2:7000"}, true},
		"no port":            {`{"addresses":["10.0.0.2:7000","10.0.0.1"]}`, []bulrushchute.Address{"10.0.0.2:7000"}, true},
		"number too large":   {`{"addresses":[1e999]}`, nil, true},
		"very deeply nested": {strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000), nil, true},
		"unreadable":         {``, nil, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			addresses, err := parseSeeds(bulrushchute.Object{Value: []byte(tc.value)})
			assert.DeepEqual(t, addresses, tc.want)
			assert.Equal(t, err != nil, tc.wantErr, "%v", err)
		})
	}
}
