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
	var shares bulrushmove.Shares
	shares, _ = shares.WithRecord(bulrushmove.ShareRecord{Service: "board", Generation: 1, Epoch: 2, Share: 8500})
	view := bulrushboard.View{}
	return view.WithCatalogue(view.Catalogue.WithService(entry, 1)).
		WithMembers(map[bulrushchute.Service][]bulrushchute.Instance{"board": members}).
		WithShares(shares).
		WithWeights(bulrushrouting.Weights{withdrawn: {Withdrawn: true}})
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
