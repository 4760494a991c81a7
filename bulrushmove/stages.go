package bulrushmove

import (
	"math"

	"bulrushchute.example/bulrushchute"
)

// stage is a part of a move with a constant share.
type stage struct {
	// share is in basis points.
	share int
	// earliest and latest are fractions of the time between the move's start and
	// its deadline. The stage does not begin before earliest, so that faults
	// that appear over time occur at a small share. It begins at latest even
	// with little evidence, unless the new version is suspicious.
	earliest, latest float64
	// exposure is the fraction of the exposure limit that may be granted until the
	// end of the stage. It matters for ordered moves only, and not at FullShare.
	exposure float64
}

// ordinaryStages are the stages of a move that is not short, after the initial
// share of 0.
var ordinaryStages = [...]stage{
	{share: 0},
	{share: 50, exposure: 0.2},
	{share: 100, earliest: 0.05, latest: 0.10, exposure: 0.3},
	{share: 500, earliest: 0.25, latest: 0.75, exposure: 0.5},
	{share: 2500, earliest: 0.40, latest: 0.81, exposure: 0.7},
	{share: 5000, earliest: 0.50, latest: 0.86, exposure: 1},
	{share: FullShare, earliest: 0.60, latest: 0.90},
}

// shortStages are the stages of a move shorter than shortMoveLimit. The new
// version may get slightly more than a tenth of the requests before it is found
// bad, so that the few requests in so short a time are sufficient evidence.
// Latencies of servers that have just started count only if they are very long,
// so the first stage must yield enough requests after the warm-up. The stage
// before the last one puts a high load on some of the servers.
var shortStages = [...]stage{
	{share: 0},
	{share: 1300, latest: 0.02, exposure: 0.5},
	{share: 8500, earliest: 0.45, latest: 0.46, exposure: 1},
	{share: FullShare, earliest: 0.78, latest: 0.79},
}

// ordered reports whether the move has a time limit instead of a fixed deadline.
func (s State) ordered() bool {
	return s.OrderedAtMs > 0
}

// limited reports whether the requests of the new version are limited by grants.
func (s State) limited() bool {
	return s.ordered() && s.Share() < FullShare
}

// shortMoveLimit is the duration below which a move is short: stages of several
// seconds do not fit in.
const shortMoveLimit = bulrushchute.Minute

// short reports whether the move follows shortStages. It agrees with isShort: near
// shortMoveLimit, the deadline of an ordered move lies orderMargin before its time
// limit.
func (s State) short() bool {
	return s.ordered() && s.CompleteByMs-s.OrderedAtMs < shortMoveLimit-orderMargin
}

func (s State) stages() []stage {
	if s.short() {
		return shortStages[:]
	}
	return ordinaryStages[:]
}

// lastStage returns the index of the stage at FullShare.
func (s State) lastStage() int {
	return len(s.stages()) - 1
}

// evidencePeriod returns the interval between evidence reports and between the
// steps of the judge.
func (s State) evidencePeriod() bulrushchute.Millis {
	return evidencePeriodOf(s.short())
}

const (
	// A stage lasts at least 1/60 of the move's duration, clamped to the bounds
	// below. It is this short so that a delayed move can still catch up before
	// its deadline.
	stageDurationDivisor = 60
	stageDurationFloor   = 3 * bulrushchute.Second
	// shortStageDuration is the minimum duration of a stage of a short move.
	shortStageDuration = bulrushchute.Second
	stageDurationCap   = 30 * bulrushchute.Second
	// A move is completed 1/50 of its duration before its deadline, clamped to
	// the bounds below, which leaves time for the store's response.
	completionMarginDivisor = 50
	completionMarginFloor   = bulrushchute.Second
	completionMarginCap     = 10 * bulrushchute.Second
	// storeDelay is the time allowed for the store's response, which a stage takes
	// in addition to its minimum duration and one evidence period.
	storeDelay = 500 * bulrushchute.Millisecond
	// goneAfter is how long the old version must have no backend server to count
	// as gone. Members can be missing briefly when a node has just joined or a
	// link has failed.
	goneAfter = 10 * bulrushchute.Second
)

func (s State) duration() bulrushchute.Millis {
	return max(s.CompleteByMs-s.StartedAtMs, 0)
}

func (s State) timeAt(fraction float64) bulrushchute.Millis {
	return s.StartedAtMs + bulrushchute.Millis(fraction*float64(s.duration()))
}

// latestStart returns the time at which a stage begins even with little evidence.
// In a move with little time it is earlier than the stage's latest fraction, so
// that the following stages, of minStageDuration each, still fit in before the
// deadline.
func (s State) latestStart(stage int) bulrushchute.Millis {
	following := bulrushchute.Millis(s.lastStage() - stage + 1)
	latestFitting := s.completeAt() - following*(s.minStageDuration()+s.evidencePeriod()+storeDelay)
	return min(s.timeAt(s.stages()[stage].latest), latestFitting)
}

// minStageDuration returns the minimum duration of a stage.
func (s State) minStageDuration() bulrushchute.Millis {
	if s.short() {
		return shortStageDuration
	}
	return min(max(s.duration()/stageDurationDivisor, stageDurationFloor), stageDurationCap)
}

// completeAt returns the time at which a move at 100% is completed although the
// old version still has backend servers.
func (s State) completeAt() bulrushchute.Millis {
	return s.CompleteByMs - min(max(s.duration()/completionMarginDivisor, completionMarginFloor), completionMarginCap)
}

// canaryLoadFactor is the load of a server of the new version while the share is
// below 100%, in multiples of the load of an ordinary server.
const canaryLoadFactor = 2.6

// CanaryServers returns how many servers of the new version receive its share of
// the requests, given the number of servers of the old version. Spread over all
// servers of the new version, a small share would never reveal a version that is
// bad only under load.
func CanaryServers(share, old int) int {
	return max(1, int(math.Round(float64(share)*float64(old)/FullShare/canaryLoadFactor)))
}
