package bulrushmove

import (
	"math"

	"bulrushchute.example/bulrushchute"
)

// stage is one share step and when it may begin.
type stage struct {
	// share is in basis points.
	share int
	// earliest and latest are parts of the time between the move's start and
	// its deadline. Before earliest the stage does not begin, so that badness
	// which comes with time meets a small share. At latest it begins even if
	// the evidence is thin, unless something speaks against the new version.
	earliest, latest float64
}

// stages are the share steps of section 5.7 after the share of 0.
var stages = [...]stage{
	{share: 0},
	{share: 50},
	{share: 100, earliest: 0.05, latest: 0.10},
	{share: 500, earliest: 0.25, latest: 0.75},
	{share: 2500, earliest: 0.40, latest: 0.81},
	{share: 5000, earliest: 0.50, latest: 0.86},
	{share: FullShare, earliest: 0.60, latest: 0.90},
}

// shortStages are the share steps of a move of less than shortMove. Its new
// version may get a tenth of the requests and some more before it is found bad,
// so that the few requests of such a time tell something. Latencies of servers
// that have just started do not count, so the first step has to bring enough
// requests after that. The step before the last one lasts until the answers of
// its first requests are known and puts a high load on a part of the servers.
var shortStages = [...]stage{
	{share: 0},
	{share: 1300, latest: 0.02},
	{share: 8500, earliest: 0.59, latest: 0.60},
	{share: FullShare, earliest: 0.78, latest: 0.79},
}

// shortMove is the time below which stages of several seconds do not fit in.
const shortMove = bulrushchute.Minute

// short reports whether the move follows shortStages.
func (s State) short() bool {
	return s.OrderedAtMs > 0 && s.CompleteByMs-s.OrderedAtMs < shortMove-orderMargin
}

// plan returns the share steps of the move.
func (s State) plan() []stage {
	if s.short() {
		return shortStages[:]
	}
	return stages[:]
}

// lastStage is the index of the step to all requests.
func (s State) lastStage() int {
	return len(s.plan()) - 1
}

// period is the time between two reports of evidence and two judgements.
func (s State) period() bulrushchute.Millis {
	return periodOf(s.short())
}

const (
	// A stage lasts at least 1/60 of the move's time, within these bounds, so
	// that a move which was held up can still catch up before its deadline.
	stageParts   = 60
	minStageTime = 3 * bulrushchute.Second
	// shortStageTime is the least time of a stage of a short move.
	shortStageTime = bulrushchute.Second
	maxStageTime   = 30 * bulrushchute.Second
	// A move is completed 1/50 of its time before its deadline, within these
	// bounds, which leaves time for the store's answer.
	finishParts   = 50
	minFinishTime = bulrushchute.Second
	maxFinishTime = 10 * bulrushchute.Second
	// storeTime is what a stage takes beyond its time and the next judgement: the
	// store's answer.
	storeTime = 500 * bulrushchute.Millisecond
	// goneTime is how long the old version must have no backend server to
	// count as gone; members can be missing for a moment when a node has just
	// joined or a link has failed.
	goneTime = 10 * bulrushchute.Second
)

func (s State) span() bulrushchute.Millis {
	return max(s.CompleteByMs-s.StartedAtMs, 0)
}

func (s State) at(part float64) bulrushchute.Millis {
	return s.StartedAtMs + bulrushchute.Millis(part*float64(s.span()))
}

// latestAt is when a stage begins on thin evidence. In a short move it is
// earlier than the stage's part of the time, so that the stages that follow,
// of stageTime each, still fit in before the deadline.
func (s State) latestAt(next int) bulrushchute.Millis {
	following := bulrushchute.Millis(s.lastStage() - next + 1)
	fitting := s.finishAt() - following*(s.stageTime()+s.period()+storeTime)
	return min(s.at(s.plan()[next].latest), fitting)
}

// stageTime is the least time that a stage lasts.
func (s State) stageTime() bulrushchute.Millis {
	if s.short() {
		return shortStageTime
	}
	return min(max(s.span()/stageParts, minStageTime), maxStageTime)
}

// finishAt is when a move at 100% counts as completed although the old version
// is still there.
func (s State) finishAt() bulrushchute.Millis {
	return s.CompleteByMs - min(max(s.span()/finishParts, minFinishTime), maxFinishTime)
}

// trialLoad is the load of a server of the new version below 100%, in multiples
// of that of an ordinary server.
const trialLoad = 2.6

// TrialServers returns on how many of its servers the new version gets its
// share of the requests. Spread over all of them, a small share would never
// show a version that is bad only under load.
func TrialServers(share, old int) int {
	return max(1, int(math.Round(float64(share)*float64(old)/FullShare/trialLoad)))
}
