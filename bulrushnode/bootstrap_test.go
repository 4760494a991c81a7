package bulrushnode

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushstore"
)

// Guards against a node that starts while the store is unavailable and then
// remains without peers, and with an outdated configuration, for seconds after the
// store is available again.
func TestStartDuringAnOutage(t *testing.T) {
	store := bulrushstore.NewMemory()
	first := runNode(nodeSettings(t), store)
	defer first.stop()
	for listed := false; !listed; {
		objects, _, err := store.List(t.Context(), bulrushchute.KindSeeds)
		assert.NilError(t, err)
		listed = len(objects) > 0
		time.Sleep(10 * time.Millisecond)
	}
	store.SetDown(true)
	second := runNode(nodeSettings(t), store)
	defer second.stop()
	time.Sleep(2 * time.Second)
	store.SetDown(false)
	regainedAt := time.Now()
	second.waitForMember(t, first.id)
	assert.Assert(t, time.Since(regainedAt) < time.Second, "peer discovered only after %s", time.Since(regainedAt))
}
