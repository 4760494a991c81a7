package bulrushrouting

import (
	"math/rand/v2"
	"slices"

	"bulrushchute.example/bulrushchute"
)

// Rule is a simple way to choose, for comparison with the Router.
type Rule uint8

// Rules of the baselines.
const (
	// RoundRobin takes the members in turn.
	RoundRobin Rule = iota
	// Random takes any member.
	Random
	// LeastInFlight takes the member with the fewest own attempts.
	LeastInFlight
	// TwoChoices takes the better of two random members, by the last report,
	// however old, and the own attempts since.
	TwoChoices
	// TwoChoicesOwn takes the better of two random members by own attempts alone.
	TwoChoicesOwn
)

var ruleNames = [...]string{"round_robin", "random", "least_in_flight", "two_choices", "two_choices_own"}

// String returns the rule's name.
func (r Rule) String() string {
	if int(r) < len(ruleNames) {
		return ruleNames[r]
	}
	return "invalid"
}

// Baseline is a Picker that follows a Rule over all members. It is not safe for concurrent use.
type Baseline struct {
	rule    Rule
	random  *rand.Rand
	members []bulrushchute.Instance
	weights Weights
	own     map[bulrushchute.InstanceID]int
	// reported holds the last reported load without the own attempts.
	reported map[bulrushchute.InstanceID]int
	turn     int
}

var _ Candidates = (*Baseline)(nil)

// NewBaseline returns a Baseline without members.
func NewBaseline(rule Rule, random *rand.Rand) *Baseline {
	return &Baseline{
		rule:     rule,
		random:   random,
		own:      map[bulrushchute.InstanceID]int{},
		reported: map[bulrushchute.InstanceID]int{},
	}
}

// Update replaces the members and the weights of their data centres. A weight
// between 0 and 1 counts as 1.
func (b *Baseline) Update(now bulrushchute.Millis, members []bulrushchute.Instance, weights Weights) {
	b.members = nil
	b.weights = weights
	for _, member := range members {
		if member.State.TakesWork() && weights[member.DataCentre].At(now) > 0 {
			b.members = append(b.members, member)
		}
	}
}

// Pick returns the instance that the rule chooses.
func (b *Baseline) Pick(_ bulrushchute.Millis, query bulrushchute.PickQuery) (bulrushchute.Instance, bool) {
	usable := b.usable(query)
	if len(usable) == 0 {
		return bulrushchute.Instance{}, false
	}
	switch b.rule {
	case RoundRobin:
		b.turn++
		return usable[b.turn%len(usable)], true
	case LeastInFlight:
		return b.least(usable), true
	case TwoChoices, TwoChoicesOwn:
		return b.twoChoices(usable), true
	default:
		return usable[b.random.IntN(len(usable))], true
	}
}

// Started records that an attempt was sent to the instance.
func (b *Baseline) Started(_ bulrushchute.Millis, instance bulrushchute.InstanceID) {
	b.own[instance]++
}

// Observe records the end of an attempt for which Started was called.
func (b *Baseline) Observe(_ bulrushchute.Millis, observation bulrushchute.Observation) {
	id := observation.Instance
	b.own[id] = max(b.own[id]-1, 0)
	if load := observation.Load; load != nil {
		b.reported[id] = max(load.InFlight+load.Queued-b.own[id], 0)
	}
}

func (b *Baseline) usable(query bulrushchute.PickQuery) []bulrushchute.Instance {
	usable := make([]bulrushchute.Instance, 0, len(b.members))
	for _, member := range b.members {
		if query.Version != "" && member.Version != query.Version {
			continue
		}
		if !slices.Contains(query.Exclude, member.ID) {
			usable = append(usable, member)
		}
	}
	return usable
}

// least starts at a random member, so that ties are spread.
func (b *Baseline) least(usable []bulrushchute.Instance) bulrushchute.Instance {
	first := b.random.IntN(len(usable))
	best := usable[first]
	for i := range usable {
		member := usable[(first+i)%len(usable)]
		if b.load(member.ID) < b.load(best.ID) {
			best = member
		}
	}
	return best
}

func (b *Baseline) twoChoices(usable []bulrushchute.Instance) bulrushchute.Instance {
	i := b.random.IntN(len(usable))
	j := b.random.IntN(max(len(usable)-1, 1))
	if j >= i && len(usable) > 1 {
		j++
	}
	if b.load(usable[j].ID) < b.load(usable[i].ID) {
		return usable[j]
	}
	return usable[i]
}

func (b *Baseline) load(id bulrushchute.InstanceID) int {
	if b.rule == TwoChoices {
		return b.own[id] + b.reported[id]
	}
	return b.own[id]
}
