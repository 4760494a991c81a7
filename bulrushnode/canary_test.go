package bulrushnode

import (
	"testing"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushboard"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
	"bulrushchute.example/bulrushchute/bulrushmove"
	"bulrushchute.example/bulrushchute/bulrushrouting"
)

func canaryView(withdrawn bulrushchute.DataCentre) bulrushboard.View {
	entry := bulrushcatalogue.ServiceEntry{
		Service: "board", Move: &bulrushcatalogue.Move{Generation: 1, ToVersion: "v2", WithinMs: 16_000},
	}
	members := []bulrushchute.Instance{
		{ID: "a1", DataCentre: "a", Service: "board", Version: "v1", State: bulrushchute.StateReady},
		{ID: "b1", DataCentre: "b", Service: "board", Version: "v1", State: bulrushchute.StateReady},
		{ID: "a2", DataCentre: "a", Service: "board", Version: "v2", State: bulrushchute.StateReady},
		{ID: "b2", DataCentre: "b", Service: "board", Version: "v2", State: bulrushchute.StateReady},
	}
	view := bulrushboard.View{}
	view = view.WithCatalogue(view.Catalogue.WithService(entry, 1)).
		WithMembers(map[bulrushchute.Service][]bulrushchute.Instance{"board": members}).
		WithWeights(bulrushrouting.Weights{withdrawn: {Withdrawn: true}})
	candidates := countServers(view, "board", *entry.Move).Candidates
	record := bulrushmove.ShareRecord{Service: "board", Generation: 1, Epoch: 2, Share: 8500, Limited: true}
	for _, candidate := range candidates {
		record.Grants = append(record.Grants, bulrushmove.Grant{Instance: candidate, Requests: 100})
	}
	shares, _ := view.Shares.WithRecord(record)
	return view.WithShares(shares)
}

// Guards against a version that is judged without any request, because the servers
// chosen for its share are in a data centre that is withdrawn.
func TestCanaryOutsideWithdrawnDataCentre(t *testing.T) {
	for _, withdrawn := range []bulrushchute.DataCentre{"a", "b"} {
		t.Run(string(withdrawn), func(t *testing.T) {
			view := canaryView(withdrawn)
			clock := bulrushchute.NewManualClock(1_000_000)
			state := newServiceStates(bulrushchute.Instance{ID: "n"}, Settings{}, clock).get("board", 16)
			state.refresh(clock.Now(), view, "board")
			newRequests := 0
			for range 100 {
				instance, found := state.pick(clock.Now(), view, bulrushchute.PickQuery{Service: "board"})
				assert.Assert(t, found && instance.DataCentre != withdrawn)
				if instance.Version == "v2" {
					newRequests++
				}
			}
			assert.Assert(t, newRequests > 75, "%d of 100 at a share of 85%%", newRequests)
		})
	}
}

// Guards against a server of a version under trial that receives more requests than
// it was granted, whatever the other nodes know of the share.
func TestServerStaysWithinGrant(t *testing.T) {
	entry := func(outcome bulrushcatalogue.MoveOutcome) bulrushcatalogue.ServiceEntry {
		return bulrushcatalogue.ServiceEntry{
			Service: "board", Move: &bulrushcatalogue.Move{Generation: 1, ToVersion: "v2", WithinMs: 16_000, Outcome: outcome},
		}
	}
	granted := func(n *Node) bulrushmove.ShareRecord {
		grants := []bulrushmove.Grant{{Instance: n.id, Requests: 3}}
		return bulrushmove.ShareRecord{Service: "board", Generation: 1, Epoch: 2, Share: 8500, Limited: true, Grants: grants}
	}
	cases := map[string]struct {
		version bulrushchute.Version
		entry   bulrushcatalogue.ServiceEntry
		record  func(n *Node) bulrushmove.ShareRecord
		want    int
	}{
		"granted":     {"v2", entry(""), granted, 3},
		"old version": {"v1", entry(""), granted, 10},
		"no share known": {"v2", entry(""), func(*Node) bulrushmove.ShareRecord {
			return bulrushmove.ShareRecord{Service: "other", Generation: 1, Epoch: 1}
		}, 0},
		"braked": {"v2", entry(""), func(n *Node) bulrushmove.ShareRecord {
			record := granted(n)
			record.Share, record.Braked = 0, true
			return record
		}, 0},
		"full share": {"v2", entry(""), func(*Node) bulrushmove.ShareRecord {
			return bulrushmove.ShareRecord{Service: "board", Generation: 1, Epoch: 3, Share: bulrushmove.FullShare}
		}, 10},
		"completed":   {"v2", entry(bulrushcatalogue.MoveCompleted), granted, 10},
		"rolled back": {"v2", entry(bulrushcatalogue.MoveRolledBack), granted, 3},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			n := newTestNode("a")
			n.board.Update(func(view bulrushboard.View) bulrushboard.View {
				shares, _ := view.Shares.WithRecord(tc.record(n))
				return view.WithCatalogue(view.Catalogue.WithService(tc.entry, 1)).WithShares(shares)
			})
			taken := 0
			for range 10 {
				if _, ok := n.moves.takeGrant("board", tc.version); ok {
					taken++
				}
			}
			assert.Equal(t, taken, tc.want)
		})
	}
}
