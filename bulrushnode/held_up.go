package bulrushnode

import (
	"maps"
	"sync"

	"bulrushchute.example/bulrushchute/bulrushwire"
)

// heldUpCounts counts and logs messages between nodes that were held up. The zero
// value is ready for use.
type heldUpCounts struct {
	mutex   sync.Mutex
	byStage map[bulrushwire.Stage]int64
}

func (hc *heldUpCounts) observe(heldUp bulrushwire.HeldUp) {
	hc.mutex.Lock()
	if hc.byStage == nil {
		hc.byStage = make(map[bulrushwire.Stage]int64)
	}
	hc.byStage[heldUp.Stage]++
	hc.mutex.Unlock()
	messageHeldUp.Log("peer", heldUp.Peer, "message", heldUp.Message, "stage", heldUp.Stage, "held_ms", heldUp.For)
}

func (hc *heldUpCounts) counts() map[bulrushwire.Stage]int64 {
	hc.mutex.Lock()
	defer hc.mutex.Unlock()
	counts := make(map[bulrushwire.Stage]int64, len(hc.byStage))
	maps.Copy(counts, hc.byStage)
	return counts
}
