package bulrushnode

import (
	"maps"
	"sync"
	"time"

	"bulrushchute.example/bulrushchute"
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

// observeControl counts a control message that waited for control's goroutine.
func (hc *heldUpCounts) observeControl(peer bulrushchute.Address, waited time.Duration) {
	if held := bulrushchute.MillisOf(waited); held >= bulrushwire.HeldUpThreshold {
		hc.observe(bulrushwire.HeldUp{Peer: peer, Message: "control", Stage: bulrushwire.StageControl, For: held})
	}
}

func (hc *heldUpCounts) counts() map[bulrushwire.Stage]int64 {
	hc.mutex.Lock()
	defer hc.mutex.Unlock()
	counts := make(map[bulrushwire.Stage]int64, len(hc.byStage))
	maps.Copy(counts, hc.byStage)
	return counts
}
