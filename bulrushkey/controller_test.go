package bulrushkey_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushkey"
)

var (
	settings    = bulrushkey.DefaultSettings()
	leaseWait   = settings.Lease + 2*settings.ClockSkew
	unavailable = &bulrushchute.UnavailableError{Operation: "update", Cause: errors.New("down")}
	ambiguous   = &bulrushchute.AmbiguousError{Operation: "update", Cause: errors.New("lost")}
)

// threeMembers returns members a, b and c, each in its own data centre and with
// the neighbours m0, m1 and m2 in data centre z.
func threeMembers() []bulrushkey.Member {
	var members []bulrushkey.Member
	for _, name := range []string{"a", "b", "c"} {
		members = append(members, bulrushkey.Member{
			ID:         bulrushchute.InstanceID(name),
			DataCentre: bulrushchute.DataCentre("dc-" + name),
			State:      bulrushchute.StateReady,
			Neighbours: monitorsNamed("m0", "m1", "m2"),
		})
	}
	return members
}

func monitorsNamed(names ...bulrushchute.InstanceID) []bulrushkey.LeaseMonitor {
	var monitors []bulrushkey.LeaseMonitor
	for _, name := range names {
		monitors = append(monitors, bulrushkey.LeaseMonitor{ID: name, DataCentre: "z"})
	}
	return monitors
}

// harness runs one controller under test with a simulated clock.
type harness struct {
	t          *testing.T
	now        bulrushchute.Millis
	controller *bulrushkey.Controller
	keyMap     bulrushkey.KeyMap
}

// newHarness returns a harness for the controller of a node whose service has a
// key map at version 5.
func newHarness(t *testing.T, self bulrushchute.InstanceID, members []bulrushkey.Member, lost ...bulrushchute.DataCentre) *harness {
	m, _ := bulrushkey.NewKeyMap("ledger", threeMembers(), testNow-10_000)
	h := &harness{t: t, now: testNow, keyMap: m.WithVersion(5)}
	h.controller = bulrushkey.NewController(settings, "ledger", self, rand.New(rand.NewPCG(1, 1)))
	h.controller.SetMembers(h.now, members, lost)
	h.controller.SetMap(h.now, h.keyMap)
	return h
}

// run calls Tick every 50 ms for the given span and returns all actions except
// heartbeats. The named monitors acknowledge heartbeats immediately.
func (h *harness) run(span bulrushchute.Millis, answering ...bulrushchute.InstanceID) []bulrushkey.Action {
	var actions []bulrushkey.Action
	for end := h.now + span; h.now < end; h.now += 50 {
		for _, action := range h.controller.Tick(h.now) {
			if action.Heartbeat == nil {
				actions = append(actions, action)
				continue
			}
			for _, monitor := range answering {
				if monitor == action.To {
					h.controller.HandleHeartbeatAck(h.now, monitor, bulrushchute.HeartbeatAck{
						Sequence: action.Heartbeat.Sequence, SentAt: action.Heartbeat.SentAt, KeyLease: true,
					})
				}
			}
		}
	}
	return actions
}

func (h *harness) leaseHeld(self bulrushchute.InstanceID) bool {
	return h.controller.Permit(h.now, h.keyMap.PartitionsOf(self)[0]).LeaseHeld
}

// overlaps reports whether the home may record keys that its successor in the
// proposed map may run too.
func (h *harness) overlaps(self bulrushchute.InstanceID, proposed bulrushkey.KeyMap) bool {
	partition := h.keyMap.PartitionsOf(self)[0]
	permit := h.controller.Permit(h.now, partition)
	_, assignment, _ := proposed.HomeOf(partition)
	return permit.LeaseHeld && (permit.Until == 0 || permit.Until > assignment.Since)
}

// onlyWrite returns the key map of the write in the actions and fails the test
// unless there is exactly one write.
func (h *harness) onlyWrite(actions []bulrushkey.Action) bulrushkey.KeyMap {
	h.t.Helper()
	var maps []bulrushkey.KeyMap
	for _, action := range actions {
		if action.Write != nil {
			m, err := bulrushkey.ParseMap(action.Write.Object)
			assert.NilError(h.t, err)
			maps = append(maps, m)
		}
	}
	assert.Equal(h.t, len(maps), 1)
	return maps[0]
}

func countActions(actions []bulrushkey.Action) string {
	asks, writes, reads := 0, 0, 0
	for _, action := range actions {
		switch {
		case action.PromiseAsk != nil:
			asks++
		case action.Write != nil:
			writes++
		case action.Read:
			reads++
		}
	}
	return fmt.Sprintf("%d asks, %d writes, %d reads", asks, writes, reads)
}

// Guards against several nodes creating a first map at the same time, and
// against creating one although gossip has not delivered the existing map yet.
func TestFirstMapIsCreatedByOneNode(t *testing.T) {
	creators := 0
	for _, member := range threeMembers() {
		c := bulrushkey.NewController(settings, "ledger", member.ID, rand.New(rand.NewPCG(1, 1)))
		h := &harness{t: t, now: testNow, controller: c}
		c.SetMembers(h.now, threeMembers(), nil)
		actions := h.run(settings.ProposeStep + 200)
		if countActions(actions) == "0 asks, 0 writes, 0 reads" {
			continue
		}
		creators++
		assert.Equal(t, countActions(actions), "0 asks, 0 writes, 1 reads")
		c.HandleReadResult(h.now, bulrushchute.Object{}, &bulrushchute.NotFoundError{Kind: bulrushchute.KindKeyMaps, Name: "ledger"})
		m := h.onlyWrite(h.run(100))
		assert.Equal(t, len(m.Homes), 3)
		assert.Assert(t, m.Partitions[0].Since > h.now-100+2*settings.ClockSkew)
	}
	assert.Equal(t, creators, 1)
}

// Guards against a takeover before a majority of the monitors has promised and
// the lease is certain to have expired, and against a takeover that never occurs.
func TestTakeoverWaits(t *testing.T) {
	cases := map[string]struct {
		promises []bulrushchute.InstanceID
		refusals []bulrushchute.InstanceID
		lost     []bulrushchute.DataCentre
		// between is the time between promises, and wait the time after the last.
		between bulrushchute.Millis
		wait    bulrushchute.Millis
		want    bool
		// epochsBack is the home's epoch minus the promised epoch.
		epochsBack uint64
	}{
		"promises of an earlier epoch":        {promises: []bulrushchute.InstanceID{"m0", "m1"}, wait: 60_000, epochsBack: 1},
		"no promise":                          {wait: 60_000},
		"one promise of three":                {promises: []bulrushchute.InstanceID{"m0"}, wait: 60_000},
		"one promise, twice":                  {promises: []bulrushchute.InstanceID{"m0", "m0"}, wait: 60_000},
		"promises of other nodes":             {promises: []bulrushchute.InstanceID{"x", "y"}, wait: 60_000},
		"majority refuses":                    {promises: []bulrushchute.InstanceID{"m0"}, refusals: []bulrushchute.InstanceID{"m1", "m2"}, wait: 60_000},
		"majority, lease not expired":         {promises: []bulrushchute.InstanceID{"m0", "m2"}, wait: leaseWait - 100},
		"late promise, lease not expired":     {promises: []bulrushchute.InstanceID{"m0", "m2"}, between: 3_000, wait: leaseWait - 100},
		"late promise, lease expired":         {promises: []bulrushchute.InstanceID{"m0", "m2"}, between: 3_000, wait: leaseWait + 100, want: true},
		"majority, lease expired":             {promises: []bulrushchute.InstanceID{"m0", "m2"}, wait: leaseWait + 100, want: true},
		"data centre lost, lease not expired": {lost: []bulrushchute.DataCentre{"dc-b"}, wait: leaseWait - 100},
		"data centre lost, lease expired":     {lost: []bulrushchute.DataCentre{"dc-b"}, wait: leaseWait + 100, want: true},
		"data centre of the monitors lost":    {lost: []bulrushchute.DataCentre{"z"}, wait: leaseWait + 100, want: true},
		"only another data centre lost":       {lost: []bulrushchute.DataCentre{"dc-x"}, wait: 60_000},
		"majority, another data centre lost":  {promises: []bulrushchute.InstanceID{"m0", "m1"}, lost: []bulrushchute.DataCentre{"dc-x"}, wait: leaseWait + 100, want: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			members := threeMembers()
			members[1].State = bulrushchute.StateDead
			h := newHarness(t, "a", members, tc.lost...)
			if len(tc.lost) == 0 || tc.lost[0] == "dc-x" {
				// A node of lower rank waits before it requests promises.
				h.run(settings.ProposeStep + 100)
			}
			for _, from := range tc.refusals {
				h.controller.HandlePromise(h.now, from, bulrushchute.Promise{Home: "b"})
			}
			for i, from := range tc.promises {
				if i > 0 {
					h.run(tc.between)
				}
				h.controller.HandlePromise(h.now, from, bulrushchute.Promise{Home: "b", Epoch: 1 - tc.epochsBack, Granted: true})
			}
			actions := h.run(tc.wait)
			if !tc.want {
				for _, action := range actions {
					assert.Assert(t, action.Write == nil)
				}
				return
			}
			m := h.onlyWrite(actions)
			assert.Equal(t, len(m.PartitionsOf("b")), 0)
			for _, p := range h.keyMap.PartitionsOf("b") {
				assert.Equal(t, m.Partitions[p].Epoch, uint64(2))
				assert.Assert(t, m.Partitions[p].Since > h.now-200+2*settings.ClockSkew)
			}
		})
	}
}

// Guards against a lease that counts acknowledgements that must not extend it,
// and against one that is measured from the arrival of an acknowledgement.
func TestLeaseNeedsMajorityOfFreshAcks(t *testing.T) {
	type ack struct {
		from bulrushchute.InstanceID
		// after is when the acknowledgement of the first heartbeat arrives.
		after bulrushchute.Millis
		lease bool
		// shift is added to the send time that the acknowledgement returns.
		shift bulrushchute.Millis
	}
	cases := map[string]struct {
		acks []ack
		// at is the time after the heartbeat was sent.
		at   bulrushchute.Millis
		want bool
	}{
		"none":                          {nil, 100, false},
		"one of three":                  {[]ack{{"m0", 10, true, 0}}, 100, false},
		"one twice":                     {[]ack{{"m0", 10, true, 0}, {"m0", 20, true, 0}}, 100, false},
		"two of three":                  {[]ack{{"m0", 10, true, 0}, {"m1", 10, true, 0}}, 100, true},
		"one refuses":                   {[]ack{{"m0", 10, true, 0}, {"m1", 10, false, 0}}, 100, false},
		"not a monitor":                 {[]ack{{"m0", 10, true, 0}, {"x", 10, true, 0}}, 100, false},
		"wrong send time":               {[]ack{{"m0", 10, true, 0}, {"m1", 10, true, 1}}, 100, false},
		"just before expiry":            {[]ack{{"m0", 10, true, 0}, {"m1", 10, true, 0}}, settings.Lease - 1, true},
		"expired":                       {[]ack{{"m0", 10, true, 0}, {"m1", 10, true, 0}}, settings.Lease, false},
		"late acknowledgement, expired": {[]ack{{"m0", 10, true, 0}, {"m1", 2_900, true, 0}}, settings.Lease, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, "a", threeMembers())
			first := h.controller.Tick(h.now)[0].Heartbeat
			for _, a := range tc.acks {
				h.controller.HandleHeartbeatAck(h.now+a.after, a.from, bulrushchute.HeartbeatAck{
					Sequence: first.Sequence, SentAt: first.SentAt + a.shift, KeyLease: a.lease,
				})
			}
			h.now += tc.at
			assert.Equal(t, h.leaseHeld("a"), tc.want)
		})
	}
}

// Guards against an expired lease that becomes valid again when the node's clock
// is set back.
func TestLeaseClockSetBack(t *testing.T) {
	h := newHarness(t, "a", threeMembers())
	h.run(1_200, "m0", "m1")
	assert.Assert(t, h.leaseHeld("a"))
	h.now += settings.Lease
	assert.Assert(t, !h.leaseHeld("a"))
	h.now -= settings.Lease
	assert.Assert(t, !h.leaseHeld("a"))
}

// Guards against a home that records keys again after a handover whose write has
// an unknown outcome and may still take effect.
func TestHandoverWithLostAnswer(t *testing.T) {
	cases := map[string]struct {
		err         error
		wantOverlap bool
	}{
		"no effect":        {unavailable, true},
		"may be in effect": {ambiguous, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, "a", threeMembers())
			h.run(1_200, "m0", "m1", "m2")
			assert.Assert(t, h.leaseHeld("a"))
			h.controller.Leave(h.now)
			first := h.onlyWrite(h.run(100, "m0", "m1", "m2"))
			assert.Equal(t, len(first.PartitionsOf("a")), 0)
			assert.Assert(t, !h.overlaps("a", first), "a handover in flight may take effect")
			h.controller.HandleWriteResult(h.now, bulrushchute.Object{}, tc.err)
			assert.Equal(t, h.overlaps("a", first), tc.wantOverlap)
			if tc.wantOverlap {
				return
			}
			assert.Equal(t, countActions(h.run(1_000, "m0", "m1", "m2")), "0 asks, 0 writes, 1 reads")
			unchanged, err := h.keyMap.Object()
			assert.NilError(t, err)
			h.controller.HandleReadResult(h.now, unchanged, nil)
			assert.Assert(t, !h.overlaps("a", first), "the write may still arrive")
			again := h.onlyWrite(h.run(100, "m0", "m1", "m2"))
			assert.DeepEqual(t, again, first)
			h.controller.HandleWriteResult(h.now, bulrushchute.Object{}, unavailable)
			assert.Assert(t, !h.overlaps("a", first), "only the second write is known to have had no effect")
			h.controller.SetMap(h.now, h.keyMap.WithVersion(6))
			assert.Assert(t, h.overlaps("a", first), "the write's condition can no longer hold")
			assert.Assert(t, h.controller.IsHome())
		})
	}
}

// Guards against a gap or an overlap between the mint times of the old home and
// those of its successor: each key belongs to exactly one of the two.
func TestHandoverLeavesNoGap(t *testing.T) {
	h := newHarness(t, "a", threeMembers())
	h.run(1_200, "m0", "m1", "m2")
	partition := h.keyMap.PartitionsOf("a")[0]
	h.controller.Leave(h.now)
	next := h.onlyWrite(h.run(100, "m0", "m1", "m2")).WithVersion(9)
	h.controller.SetMap(h.now, next)
	_, assignment, _ := next.HomeOf(partition)
	permit := h.controller.Permit(h.now, partition)
	assert.Assert(t, permit.IsHome && permit.LeaseHeld)
	assert.Equal(t, permit.Until, assignment.Since)
	assert.Equal(t, assignment.Previous, bulrushchute.InstanceID("a"))
	assert.Assert(t, h.controller.IsHome(), "keys minted before the handover still arrive")
	h.run(assignment.Since-h.now+simSettings.ClockSkew+bulrushkey.DefaultSettings().ClockSkew+100, "m0")
	assert.Assert(t, !h.controller.IsHome())
}

// Guards against a home that loses its lease for several seconds after monitors
// left as planned. They must be replaced before the lease that they extended
// expires.
func TestMonitorsThatLeftAreReplacedInTime(t *testing.T) {
	members := threeMembers()
	h := newHarness(t, "a", members)
	h.run(5_000, "m0", "m1", "m2")
	assert.Assert(t, h.leaseHeld("a"))
	members[0].Neighbours = monitorsNamed("m2", "n1", "n2")
	h.controller.SetMembers(h.now, members, nil)
	var actions []bulrushkey.Action
	for len(actions) == 0 {
		assert.Assert(t, h.leaseHeld("a"), "the lease ended before the monitors were replaced")
		actions = h.run(100, "m2", "n1", "n2")
	}
	home, _ := h.onlyWrite(actions).FindHome("a")
	assert.DeepEqual(t, home.Monitors, monitorsNamed("m2", "n1", "n2"))
}

// Guards against a home that counts the lease by only one of two lists of
// monitors while a change of the list is being written: its successor may ask
// either list for promises.
func TestLeaseWhileMonitorsAreReplaced(t *testing.T) {
	members := threeMembers()
	members[0].Neighbours = monitorsNamed("m0", "n1", "n2")
	h := newHarness(t, "a", members)
	actions := h.run(10_000, "m0", "m1", "n1", "n2")
	m := h.onlyWrite(actions)
	home, _ := m.FindHome("a")
	assert.DeepEqual(t, home.Monitors, monitorsNamed("m0", "m1", "n1", "n2"))
	assert.Assert(t, h.leaseHeld("a"))
	h.run(4_000, "m1", "n1", "n2")
	assert.Assert(t, !h.leaseHeld("a"), "only one monitor of the old list answers")
	h.run(4_000, "m0", "m1")
	assert.Assert(t, !h.leaseHeld("a"), "only two of four of the new list answer")
	h.run(4_000, "m0", "m1", "n1")
	assert.Assert(t, h.leaseHeld("a"))
}

// Guards against a home that stays in the map but can never renew its lease,
// because a successor collected promises and crashed before the takeover.
func TestUnrenewableLeaseHandsOver(t *testing.T) {
	h := newHarness(t, "a", threeMembers())
	heartbeat := h.controller.Tick(h.now)[0].Heartbeat
	for _, monitor := range []bulrushchute.InstanceID{"m0", "m1"} {
		h.controller.HandleHeartbeatAck(h.now, monitor, bulrushchute.HeartbeatAck{Sequence: heartbeat.Sequence, SentAt: heartbeat.SentAt})
	}
	m := h.onlyWrite(h.run(100))
	assert.Equal(t, len(m.PartitionsOf("a")), 0)
}

// Guards against a monitor that breaks a promise, or that ends a working lease
// because one node has a wrong view of the membership.
func TestMonitorPromises(t *testing.T) {
	cases := map[string]struct {
		heartbeatAge bulrushchute.Millis
		dead         bool
		granted      bool
	}{
		"heartbeat just now":                  {0, false, false},
		"heartbeat just now, considered dead": {0, true, true},
		"heartbeat within the lease":          {settings.Lease - 1, false, false},
		"no heartbeat for a lease":            {settings.Lease, false, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			monitor := bulrushkey.NewMonitor(settings)
			heartbeat := bulrushchute.Heartbeat{Sequence: 1, SentAt: 1, KeyLease: true}
			assert.Assert(t, monitor.HandleHeartbeat(testNow-tc.heartbeatAge, "a", heartbeat).KeyLease)
			later := heartbeat
			later.KeyEpoch = 4
			ask := bulrushchute.PromiseAsk{Service: "ledger", Home: "a", Epoch: 3}
			assert.Equal(t, monitor.HandlePromiseAsk(testNow, ask, tc.dead).Granted, tc.granted)
			assert.Equal(t, monitor.HandleHeartbeat(testNow+1, "a", heartbeat).KeyLease, !tc.granted)
			assert.Equal(t, monitor.HandlePromiseAsk(testNow+2, ask, false).Granted, tc.granted)
			assert.Assert(t, monitor.HandleHeartbeat(testNow+1, "b", heartbeat).KeyLease)
			assert.Assert(t, monitor.HandleHeartbeat(testNow+1, "a", later).KeyLease, "a later epoch has its own lease")
			assert.Equal(t, monitor.HandleHeartbeat(testNow+1, "a", heartbeat).KeyLease, !tc.granted)
		})
	}
}

// Guards against settings that make the protocol unsafe.
func TestSettingsValidate(t *testing.T) {
	assert.NilError(t, settings.Validate())
	bad := settings
	bad.Retention = settings.Lease
	assert.ErrorContains(t, bad.Validate(), "key_retention_ms")
}
