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

// smallFleet returns members a, b and c in data centres of their own, each
// monitored by m0, m1 and m2 in data centre z.
func smallFleet() []bulrushkey.Member {
	var members []bulrushkey.Member
	for _, name := range []string{"a", "b", "c"} {
		members = append(members, bulrushkey.Member{
			ID:         bulrushchute.InstanceID(name),
			DataCentre: bulrushchute.DataCentre("dc-" + name),
			State:      bulrushchute.StateReady,
			Monitors:   monitorsNamed("m0", "m1", "m2"),
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

// bench holds one controller under test at a settable time.
type bench struct {
	t          *testing.T
	now        bulrushchute.Millis
	controller *bulrushkey.Controller
	keyMap     bulrushkey.KeyMap
}

// newBench returns the controller of a node whose service has a map at version 5.
func newBench(t *testing.T, self bulrushchute.InstanceID, members []bulrushkey.Member, lost ...bulrushchute.DataCentre) *bench {
	m, _ := bulrushkey.NewKeyMap("ledger", smallFleet(), tableNow-10_000)
	b := &bench{t: t, now: tableNow, keyMap: m.WithVersion(5)}
	b.controller = bulrushkey.NewController(settings, "ledger", self, rand.New(rand.NewPCG(1, 1)))
	b.controller.SetMembers(b.now, members, lost)
	b.controller.SetMap(b.now, b.keyMap)
	return b
}

// run ticks for a span and returns all actions. Heartbeats are acknowledged by
// the named monitors at once.
func (b *bench) run(span bulrushchute.Millis, answering ...bulrushchute.InstanceID) []bulrushkey.Action {
	var actions []bulrushkey.Action
	for end := b.now + span; b.now < end; b.now += 50 {
		for _, action := range b.controller.Tick(b.now) {
			if action.Heartbeat == nil {
				actions = append(actions, action)
				continue
			}
			for _, monitor := range answering {
				if monitor == action.To {
					b.controller.Acked(b.now, monitor, bulrushchute.HeartbeatAck{
						Sequence: action.Heartbeat.Sequence, SentAt: action.Heartbeat.SentAt, KeyLease: true,
					})
				}
			}
		}
	}
	return actions
}

func (b *bench) lease(self bulrushchute.InstanceID) bool {
	return b.controller.Permit(b.now, b.keyMap.PartitionsOf(self)[0]).Lease
}

// overlaps reports whether the home may record keys that its successor under a
// proposed map may run too.
func (b *bench) overlaps(self bulrushchute.InstanceID, proposed bulrushkey.KeyMap) bool {
	partition := b.keyMap.PartitionsOf(self)[0]
	permit := b.controller.Permit(b.now, partition)
	_, assignment, _ := proposed.HomeOf(partition)
	return permit.Lease && (permit.Until == 0 || permit.Until > assignment.Since)
}

// written returns the map of the only write among the actions.
func (b *bench) written(actions []bulrushkey.Action) bulrushkey.KeyMap {
	b.t.Helper()
	var maps []bulrushkey.KeyMap
	for _, action := range actions {
		if action.Write != nil {
			m, err := bulrushkey.ParseMap(action.Write.Object)
			assert.NilError(b.t, err)
			maps = append(maps, m)
		}
	}
	assert.Equal(b.t, len(maps), 1)
	return maps[0]
}

func countOf(actions []bulrushkey.Action) string {
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

// Guards against nodes that race to create a map, and against a map created
// over one that gossip had not brought yet.
func TestFirstMapIsCreatedByOneNode(t *testing.T) {
	creators := 0
	for _, member := range smallFleet() {
		c := bulrushkey.NewController(settings, "ledger", member.ID, rand.New(rand.NewPCG(1, 1)))
		b := &bench{t: t, now: tableNow, controller: c}
		c.SetMembers(b.now, smallFleet(), nil)
		actions := b.run(settings.ProposeStep + 200)
		if countOf(actions) == "0 asks, 0 writes, 0 reads" {
			continue
		}
		creators++
		assert.Equal(t, countOf(actions), "0 asks, 0 writes, 1 reads")
		c.WasRead(b.now, bulrushchute.Object{}, &bulrushchute.NotFoundError{Kind: bulrushchute.KindKeyMaps, Name: "ledger"})
		m := b.written(b.run(100))
		assert.Equal(t, len(m.Homes), 3)
		assert.Assert(t, m.Partitions[0].Since > b.now-100+2*settings.ClockSkew)
	}
	assert.Equal(t, creators, 1)
}

// Guards against a takeover before a majority has promised and its lease is
// certainly over, and against one that never comes.
func TestTakeoverWaits(t *testing.T) {
	cases := map[string]struct {
		promises []bulrushchute.InstanceID
		refusals []bulrushchute.InstanceID
		lost     []bulrushchute.DataCentre
		// between is the time from one promise to the next, and wait that from the last.
		between bulrushchute.Millis
		wait    bulrushchute.Millis
		want    bool
		// epochsBack is how far the promised epoch is behind the home's.
		epochsBack uint64
	}{
		"promises of an earlier epoch":      {promises: []bulrushchute.InstanceID{"m0", "m1"}, wait: 60_000, epochsBack: 1},
		"no promise":                        {wait: 60_000},
		"one promise of three":              {promises: []bulrushchute.InstanceID{"m0"}, wait: 60_000},
		"one promise, twice":                {promises: []bulrushchute.InstanceID{"m0", "m0"}, wait: 60_000},
		"promises of others":                {promises: []bulrushchute.InstanceID{"x", "y"}, wait: 60_000},
		"majority refuses":                  {promises: []bulrushchute.InstanceID{"m0"}, refusals: []bulrushchute.InstanceID{"m1", "m2"}, wait: 60_000},
		"majority, lease not over":          {promises: []bulrushchute.InstanceID{"m0", "m2"}, wait: leaseWait - 100},
		"second promise late, not over":     {promises: []bulrushchute.InstanceID{"m0", "m2"}, between: 3_000, wait: leaseWait - 100},
		"second promise late, over":         {promises: []bulrushchute.InstanceID{"m0", "m2"}, between: 3_000, wait: leaseWait + 100, want: true},
		"majority, lease over":              {promises: []bulrushchute.InstanceID{"m0", "m2"}, wait: leaseWait + 100, want: true},
		"data centre lost, lease not over":  {lost: []bulrushchute.DataCentre{"dc-b"}, wait: leaseWait - 100},
		"data centre lost":                  {lost: []bulrushchute.DataCentre{"dc-b"}, wait: leaseWait + 100, want: true},
		"data centre of the monitors lost":  {lost: []bulrushchute.DataCentre{"z"}, wait: leaseWait + 100, want: true},
		"another data centre is lost":       {lost: []bulrushchute.DataCentre{"dc-x"}, wait: 60_000},
		"majority, another data centre too": {promises: []bulrushchute.InstanceID{"m0", "m1"}, lost: []bulrushchute.DataCentre{"dc-x"}, wait: leaseWait + 100, want: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			members := smallFleet()
			members[1].State = bulrushchute.StateDead
			b := newBench(t, "a", members, tc.lost...)
			if len(tc.lost) == 0 || tc.lost[0] == "dc-x" {
				// The proposer of a lower rank waits its turn first.
				b.run(settings.ProposeStep + 100)
			}
			for _, from := range tc.refusals {
				b.controller.Promised(b.now, from, bulrushchute.Promise{Home: "b"})
			}
			for i, from := range tc.promises {
				if i > 0 {
					b.run(tc.between)
				}
				b.controller.Promised(b.now, from, bulrushchute.Promise{Home: "b", Epoch: 1 - tc.epochsBack, Granted: true})
			}
			actions := b.run(tc.wait)
			if !tc.want {
				for _, action := range actions {
					assert.Assert(t, action.Write == nil)
				}
				return
			}
			m := b.written(actions)
			assert.Equal(t, len(m.PartitionsOf("b")), 0)
			for _, p := range b.keyMap.PartitionsOf("b") {
				assert.Equal(t, m.Partitions[p].Epoch, uint64(2))
				assert.Assert(t, m.Partitions[p].Since > b.now-200+2*settings.ClockSkew)
			}
		})
	}
}

// Guards against a lease that counts acknowledgements it must not, or from
// their arrival.
func TestLeaseNeedsMajorityOfFreshAcks(t *testing.T) {
	type ack struct {
		from bulrushchute.InstanceID
		// after is when the acknowledgement of the first heartbeat arrives.
		after bulrushchute.Millis
		lease bool
		shift bulrushchute.Millis
	}
	cases := map[string]struct {
		acks []ack
		at   bulrushchute.Millis
		want bool
	}{
		"none":                       {nil, 100, false},
		"one of three":               {[]ack{{"m0", 10, true, 0}}, 100, false},
		"one twice":                  {[]ack{{"m0", 10, true, 0}, {"m0", 20, true, 0}}, 100, false},
		"two of three":               {[]ack{{"m0", 10, true, 0}, {"m1", 10, true, 0}}, 100, true},
		"one refuses":                {[]ack{{"m0", 10, true, 0}, {"m1", 10, false, 0}}, 100, false},
		"not a monitor":              {[]ack{{"m0", 10, true, 0}, {"x", 10, true, 0}}, 100, false},
		"forged time":                {[]ack{{"m0", 10, true, 0}, {"m1", 10, true, 1}}, 100, false},
		"last moment":                {[]ack{{"m0", 10, true, 0}, {"m1", 10, true, 0}}, settings.Lease - 1, true},
		"over":                       {[]ack{{"m0", 10, true, 0}, {"m1", 10, true, 0}}, settings.Lease, false},
		"late acknowledgement, over": {[]ack{{"m0", 10, true, 0}, {"m1", 2_900, true, 0}}, settings.Lease, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, "a", smallFleet())
			first := b.controller.Tick(b.now)[0].Heartbeat
			for _, a := range tc.acks {
				b.controller.Acked(b.now+a.after, a.from, bulrushchute.HeartbeatAck{
					Sequence: first.Sequence, SentAt: first.SentAt + a.shift, KeyLease: a.lease,
				})
			}
			b.now += tc.at
			assert.Equal(t, b.lease("a"), tc.want)
		})
	}
}

// Guards against a lease that revives when the node's clock is set back.
func TestLeaseClockSetBack(t *testing.T) {
	b := newBench(t, "a", smallFleet())
	b.run(1_200, "m0", "m1")
	assert.Assert(t, b.lease("a"))
	b.now += settings.Lease
	assert.Assert(t, !b.lease("a"))
	b.now -= settings.Lease
	assert.Assert(t, !b.lease("a"))
}

// Guards against a home that records keys again although its own handover may
// still take effect.
func TestHandoverWithLostAnswer(t *testing.T) {
	cases := map[string]struct {
		err  error
		want bool
	}{
		"no effect":        {unavailable, true},
		"may be in effect": {ambiguous, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, "a", smallFleet())
			b.run(1_200, "m0", "m1", "m2")
			assert.Assert(t, b.lease("a"))
			b.controller.Leave(b.now)
			first := b.written(b.run(100, "m0", "m1", "m2"))
			assert.Equal(t, len(first.PartitionsOf("a")), 0)
			assert.Assert(t, !b.overlaps("a", first), "a handover in flight may take effect")
			b.controller.Wrote(b.now, bulrushchute.Object{}, tc.err)
			assert.Equal(t, b.overlaps("a", first), tc.want)
			if tc.want {
				return
			}
			assert.Equal(t, countOf(b.run(1_000, "m0", "m1", "m2")), "0 asks, 0 writes, 1 reads")
			unchanged, err := b.keyMap.Object()
			assert.NilError(t, err)
			b.controller.WasRead(b.now, unchanged, nil)
			assert.Assert(t, !b.overlaps("a", first), "the write may still arrive")
			again := b.written(b.run(100, "m0", "m1", "m2"))
			assert.DeepEqual(t, again, first)
			b.controller.Wrote(b.now, bulrushchute.Object{}, unavailable)
			assert.Assert(t, !b.overlaps("a", first), "only the second try certainly had no effect")
			b.controller.SetMap(b.now, b.keyMap.WithVersion(6))
			assert.Assert(t, b.overlaps("a", first), "the write's condition has failed for good")
			assert.Assert(t, b.controller.IsHome())
		})
	}
}

// Guards against a home that stops before the range of its successor begins,
// and against one that goes on after it: each key belongs to one of the two.
func TestHandoverLeavesNoGap(t *testing.T) {
	b := newBench(t, "a", smallFleet())
	b.run(1_200, "m0", "m1", "m2")
	partition := b.keyMap.PartitionsOf("a")[0]
	b.controller.Leave(b.now)
	next := b.written(b.run(100, "m0", "m1", "m2")).WithVersion(9)
	b.controller.SetMap(b.now, next)
	_, assignment, _ := next.HomeOf(partition)
	permit := b.controller.Permit(b.now, partition)
	assert.Assert(t, permit.Home && permit.Lease)
	assert.Equal(t, permit.Until, assignment.Since)
	assert.Equal(t, assignment.Previous, bulrushchute.InstanceID("a"))
	assert.Assert(t, b.controller.IsHome(), "keys minted before the handover still arrive")
	b.run(assignment.Since-b.now+simSettings.ClockSkew+bulrushkey.DefaultSettings().ClockSkew+100, "m0")
	assert.Assert(t, !b.controller.IsHome())
}

// Guards against a home without a lease for several seconds after monitors
// have left as planned: they are replaced before the lease that they support ends.
func TestMonitorsThatLeftAreReplacedInTime(t *testing.T) {
	members := smallFleet()
	b := newBench(t, "a", members)
	b.run(5_000, "m0", "m1", "m2")
	assert.Assert(t, b.lease("a"))
	members[0].Monitors = monitorsNamed("m2", "n1", "n2")
	b.controller.SetMembers(b.now, members, nil)
	var actions []bulrushkey.Action
	for len(actions) == 0 {
		assert.Assert(t, b.lease("a"), "the lease ended before the monitors were replaced")
		actions = b.run(100, "m2", "n1", "n2")
	}
	home, _ := b.written(actions).Find("a")
	assert.DeepEqual(t, home.Monitors, monitorsNamed("m2", "n1", "n2"))
}

// Guards against a home that counts only one of two lists of monitors while it
// does not know which of them its successor would ask.
func TestMonitorsAreReplaced(t *testing.T) {
	members := smallFleet()
	members[0].Monitors = monitorsNamed("m0", "n1", "n2")
	b := newBench(t, "a", members)
	actions := b.run(10_000, "m0", "m1", "n1", "n2")
	m := b.written(actions)
	home, _ := m.Find("a")
	assert.DeepEqual(t, home.Monitors, monitorsNamed("m0", "m1", "n1", "n2"))
	assert.Assert(t, b.lease("a"))
	b.run(4_000, "m1", "n1", "n2")
	assert.Assert(t, !b.lease("a"), "only one monitor of the old list answers")
	b.run(4_000, "m0", "m1")
	assert.Assert(t, !b.lease("a"), "only two of four of the new list answer")
	b.run(4_000, "m0", "m1", "n1")
	assert.Assert(t, b.lease("a"))
}

// Guards against a home that stays in the map without ever getting its lease
// back, because a successor collected promises and then crashed.
func TestLockedOutHomeHandsOver(t *testing.T) {
	b := newBench(t, "a", smallFleet())
	heartbeat := b.controller.Tick(b.now)[0].Heartbeat
	for _, monitor := range []bulrushchute.InstanceID{"m0", "m1"} {
		b.controller.Acked(b.now, monitor, bulrushchute.HeartbeatAck{Sequence: heartbeat.Sequence, SentAt: heartbeat.SentAt})
	}
	m := b.written(b.run(100))
	assert.Equal(t, len(m.PartitionsOf("a")), 0)
}

// Guards against a monitor that forgets a promise, or that ends a lease that
// works because one node has a wrong view.
func TestMonitorPromises(t *testing.T) {
	cases := map[string]struct {
		heardAgo bulrushchute.Millis
		dead     bool
		granted  bool
	}{
		"heard just now":            {0, false, false},
		"heard just now, held dead": {0, true, true},
		"heard within the lease":    {settings.Lease - 1, false, false},
		"silent for a lease":        {settings.Lease, false, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			monitor := bulrushkey.NewMonitor(settings)
			heartbeat := bulrushchute.Heartbeat{Sequence: 1, SentAt: 1, KeyLease: true}
			assert.Assert(t, monitor.Heartbeat(tableNow-tc.heardAgo, "a", heartbeat).KeyLease)
			later := heartbeat
			later.KeyEpoch = 4
			ask := bulrushchute.PromiseAsk{Service: "ledger", Home: "a", Epoch: 3}
			assert.Equal(t, monitor.Ask(tableNow, ask, tc.dead).Granted, tc.granted)
			assert.Equal(t, monitor.Heartbeat(tableNow+1, "a", heartbeat).KeyLease, !tc.granted)
			assert.Equal(t, monitor.Ask(tableNow+2, ask, false).Granted, tc.granted)
			assert.Assert(t, monitor.Heartbeat(tableNow+1, "b", heartbeat).KeyLease)
			assert.Assert(t, monitor.Heartbeat(tableNow+1, "a", later).KeyLease, "a later epoch has its own lease")
			assert.Equal(t, monitor.Heartbeat(tableNow+1, "a", heartbeat).KeyLease, !tc.granted)
		})
	}
}

// Guards against settings with which the protocol is not safe.
func TestSettingsValidate(t *testing.T) {
	assert.NilError(t, settings.Validate())
	bad := settings
	bad.Retention = settings.Lease
	assert.ErrorContains(t, bad.Validate(), "key_retention_ms")
}
