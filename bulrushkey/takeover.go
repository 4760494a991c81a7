package bulrushkey

import (
	"slices"

	"bulrushchute.example/bulrushchute"
)

// takeover collects the promises of one home's lease monitors.
type takeover struct {
	// epoch is the home's epoch that is taken over.
	epoch uint64
	// goneSince is when this node first held the home for gone.
	goneSince bulrushchute.Millis
	nextAsk   bulrushchute.Millis
	// promised holds when each monitor's promise arrived. A promise holds for the
	// rest of the epoch, so it stays valid if the home's list of monitors changes.
	promised map[bulrushchute.InstanceID]bulrushchute.Millis
}

func newTakeover(now bulrushchute.Millis, epoch uint64) *takeover {
	return &takeover{
		epoch:     epoch,
		goneSince: now,
		promised:  make(map[bulrushchute.InstanceID]bulrushchute.Millis),
	}
}

// asks returns the promise requests that are due.
func (t *takeover) asks(now bulrushchute.Millis, ask bulrushchute.PromiseAsk, monitors []LeaseMonitor, settings Settings) []Action {
	if now < t.nextAsk {
		return nil
	}
	t.nextAsk = now + settings.Heartbeat
	var actions []Action
	for _, monitor := range monitors {
		if _, promised := t.promised[monitor.ID]; !promised {
			request := ask
			actions = append(actions, Action{To: monitor.ID, PromiseAsk: &request})
		}
	}
	return actions
}

// promisedSince returns when a majority of the monitors had promised. Those of
// a lost data centre count as having promised when the loss was declared.
func (t *takeover) promisedSince(monitors []LeaseMonitor, lost map[bulrushchute.DataCentre]bulrushchute.Millis) (bulrushchute.Millis, bool) {
	var times []bulrushchute.Millis
	for _, monitor := range monitors {
		if at, promised := t.promised[monitor.ID]; promised {
			times = append(times, at)
			continue
		}
		if at, isLost := lost[monitor.DataCentre]; isLost {
			times = append(times, at)
		}
	}
	if len(monitors) == 0 || len(times) < majority(len(monitors)) {
		return 0, false
	}
	slices.Sort(times)
	return times[majority(len(monitors))-1], true
}
