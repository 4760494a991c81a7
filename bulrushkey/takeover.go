package bulrushkey

import (
	"slices"

	"bulrushchute.example/bulrushchute"
)

// takeover tracks the promises of one home's lease monitors.
type takeover struct {
	// epoch is the epoch of the home that is taken over.
	epoch uint64
	// startedAt is the time at which this node found that the home needs a
	// takeover.
	startedAt   bulrushchute.Millis
	nextRequest bulrushchute.Millis
	// promisedAt holds the arrival time of each monitor's promise. A promise holds
	// for the rest of the epoch, so it stays valid if the home's monitors change.
	promisedAt map[bulrushchute.InstanceID]bulrushchute.Millis
}

func newTakeover(now bulrushchute.Millis, epoch uint64) *takeover {
	return &takeover{
		epoch:      epoch,
		startedAt:  now,
		promisedAt: make(map[bulrushchute.InstanceID]bulrushchute.Millis),
	}
}

// promiseRequests returns the promise requests that are due.
func (t *takeover) promiseRequests(now bulrushchute.Millis, ask bulrushchute.PromiseAsk, monitors []LeaseMonitor, settings Settings) []Action {
	if now < t.nextRequest {
		return nil
	}
	t.nextRequest = now + settings.Heartbeat
	var actions []Action
	for _, monitor := range monitors {
		if _, promised := t.promisedAt[monitor.ID]; !promised {
			request := ask
			actions = append(actions, Action{To: monitor.ID, PromiseAsk: &request})
		}
	}
	return actions
}

// majorityPromisedAt returns the time at which a majority of the monitors had
// promised. A monitor in a lost data centre counts as having promised at the time
// the loss was declared.
func (t *takeover) majorityPromisedAt(monitors []LeaseMonitor, lost map[bulrushchute.DataCentre]bulrushchute.Millis) (bulrushchute.Millis, bool) {
	var times []bulrushchute.Millis
	for _, monitor := range monitors {
		if at, promised := t.promisedAt[monitor.ID]; promised {
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
