package bulrushnode

import (
	"testing"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
)

// Guards against an announcement of another service that takes the place of the node's own
// backend server and becomes the service that the node names as caller.
func TestAnnouncementOfAnotherService(t *testing.T) {
	own := Announcement{Service: "board", Version: "v1", Address: "10.0.0.1:9000", Server: "i-1", State: BackendServing, StartedAtMs: 1000}
	other := own
	other.Service, other.Server, other.StartedAtMs = "drawers", "i-2", 2000
	cases := map[string]struct {
		service bulrushchute.Service
		want    Announcement
	}{
		"service in the settings":    {"board", own},
		"no service in the settings": {"", other},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			settings := Settings{DataCentre: "a", Service: tc.service, PeerAddress: "10.0.0.1:7001", BackendAddress: "10.0.0.1:9000"}
			node := New(settings, nil, bulrushchute.NewManualClock(1_000_000))
			defer node.cancel()
			assert.Equal(t, node.ownService(), tc.service, "before the first announcement")
			assert.NilError(t, node.Announce(own))
			err := node.Announce(other)
			if tc.want == own {
				assert.ErrorType(t, err, (*bulrushchute.FieldError)(nil))
			} else {
				assert.NilError(t, err)
			}
			assert.Equal(t, node.admission.latestAnnouncement(), tc.want)
			assert.Equal(t, node.ownService(), tc.want.Service)
		})
	}
}
