package bulrushnode

import (
	"bytes"
	"encoding/json"
	"net"
	"strconv"

	"github.com/pkg/errors"

	"bulrushchute.example/bulrushchute"
)

// BackendState is the state that a backend server announces.
type BackendState string

// States of a backend server.
const (
	BackendServing  BackendState = "serving"
	BackendDraining BackendState = "draining"
)

// Announcement is what a backend server tells its node about itself.
type Announcement struct {
	Service     bulrushchute.Service `json:"service"`
	Version     bulrushchute.Version `json:"version"`
	Address     bulrushchute.Address `json:"address"`
	Slots       int                  `json:"slots"`
	Connections int                  `json:"connections"`
	Cold        bool                 `json:"cold"`
	// ColdMs is the server's estimate of how much longer it stays cold.
	ColdMs bulrushchute.Millis `json:"cold_ms,omitempty"`
	// Server is the ID that the server gave itself. A request that names it is
	// not run by any other server.
	Server string       `json:"server,omitempty"`
	State  BackendState `json:"state"`
	// StartedAtMs distinguishes successive backend server processes at the same
	// address.
	StartedAtMs bulrushchute.Millis `json:"started_at_ms"`
}

// MaxAnnouncementBytes is the maximum size of an announcement in JSON.
const MaxAnnouncementBytes = 4 << 10

// ParseAnnouncement parses and validates an announcement in JSON.
func ParseAnnouncement(data []byte) (Announcement, error) {
	var announcement Announcement
	if len(data) > MaxAnnouncementBytes {
		return announcement, &bulrushchute.FieldError{Field: "announcement", Value: strconv.Itoa(len(data)) + " bytes", Allowed: "at most 4096 bytes"}
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&announcement); err != nil {
		return announcement, errors.Wrap(err, "parse announcement")
	}
	if announcement.State == "" {
		announcement.State = BackendServing
	}
	return announcement, announcement.Check()
}

// Check returns a *bulrushchute.FieldError if a field is not allowed.
func (a Announcement) Check() error {
	if a.Service == "" {
		return &bulrushchute.FieldError{Field: "service", Allowed: "the name of a service"}
	}
	if err := checkAddress("address", a.Address); err != nil {
		return err
	}
	if a.Slots < 0 {
		return &bulrushchute.FieldError{Field: "slots", Value: strconv.Itoa(a.Slots), Allowed: "0 or more"}
	}
	if a.Connections < 0 {
		return &bulrushchute.FieldError{Field: "connections", Value: strconv.Itoa(a.Connections), Allowed: "0 or more"}
	}
	if a.State != BackendServing && a.State != BackendDraining {
		return &bulrushchute.FieldError{Field: "state", Value: string(a.State), Allowed: "serving or draining"}
	}
	return nil
}

// checkServer rejects a backend server other than the one of the settings. The node would
// send its requests to another server, and name a wrong service in those of its callers.
func (a Announcement) checkServer(settings Settings) error {
	if settings.Service != "" && a.Service != settings.Service {
		return &bulrushchute.FieldError{Field: "service", Value: string(a.Service), Allowed: string(settings.Service)}
	}
	return a.checkHost(settings.BackendAddress)
}

// checkHost rejects a backend server on another host than the one in the
// settings, because the node's view of its load would not be exact.
func (a Announcement) checkHost(expected bulrushchute.Address) error {
	host, _, _ := net.SplitHostPort(string(a.Address))
	expectedHost, _, _ := net.SplitHostPort(string(expected))
	if host != expectedHost {
		return &bulrushchute.FieldError{Field: "address", Value: string(a.Address), Allowed: "an address on " + expectedHost}
	}
	return nil
}

func (a Announcement) sameProcess(other Announcement) bool {
	return a.Service == other.Service && a.Version == other.Version &&
		a.Address == other.Address && a.StartedAtMs == other.StartedAtMs && a.Server == other.Server
}
