package bulrushkey

import (
	"math/rand/v2"

	"bulrushchute.example/bulrushchute"
)

// Controller is one node's part in keeping the key map of its own service. It
// is not safe for concurrent use.
type Controller struct {
	settings Settings
	service  bulrushchute.Service
	self     bulrushchute.InstanceID
	random   *rand.Rand
}

// NewController returns a controller that knows no members and no key map.
func NewController(settings Settings, service bulrushchute.Service, self bulrushchute.InstanceID, random *rand.Rand) *Controller {
	return &Controller{settings: settings, service: service, self: self, random: random}
}

// SetMembers replaces the members of the service, this node included, and the
// data centres that operators declared lost.
func (c *Controller) SetMembers(_ bulrushchute.Millis, _ []Member, _ []bulrushchute.DataCentre) {}

// SetMap takes a key map from gossip. Versions that are not newer are ignored.
func (c *Controller) SetMap(_ bulrushchute.Millis, _ KeyMap) {}

// Leave starts the handover of all partitions. It is final.
func (c *Controller) Leave(_ bulrushchute.Millis) {}

// Acked takes a lease monitor's acknowledgement of a heartbeat.
func (c *Controller) Acked(_ bulrushchute.Millis, _ bulrushchute.InstanceID, _ bulrushchute.HeartbeatAck) {
}

// Promised takes a lease monitor's answer to a promise request.
func (c *Controller) Promised(_ bulrushchute.Millis, _ bulrushchute.InstanceID, _ bulrushchute.Promise) {
}

// Wrote reports the end of a Write with the store's answer or error.
func (c *Controller) Wrote(_ bulrushchute.Millis, _ bulrushchute.Object, _ error) {}

// WasRead reports the end of a Read with the store's answer or error.
func (c *Controller) WasRead(_ bulrushchute.Millis, _ bulrushchute.Object, _ error) {}

// Tick returns the steps that are due. The node calls it at least four times
// in each heartbeat interval and after each of the calls above.
func (c *Controller) Tick(_ bulrushchute.Millis) []Action { return nil }

// Permit says which new keys of the partition this node may record now.
func (c *Controller) Permit(_ bulrushchute.Millis, _ int) Permit { return Permit{} }

// Map returns the newest key map that the controller knows.
func (c *Controller) Map() (KeyMap, bool) { return KeyMap{}, false }

// IsHome reports whether any partition is, or may be, assigned to this node.
// A leaving node waits until it is false.
func (c *Controller) IsHome() bool { return false }
