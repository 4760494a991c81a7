package bulrushrouting

import (
	"math/rand/v2"
	"slices"

	"bulrushchute.example/bulrushchute"
)

// Policy is a load-balancing policy of a Baseline.
type Policy uint8

// Policies of a Baseline.
const (
	// RoundRobin picks the members in turn.
	RoundRobin Policy = iota
	// Random picks a member uniformly at random.
	Random
	// LeastInFlight picks the member with the fewest outstanding attempts of
	// this node.
	LeastInFlight
	// TwoChoices picks the less loaded of two random members. Their load is that
	// of other entry nodes in the last report, however old, plus the outstanding
	// attempts of this node.
	TwoChoices
	// TwoChoicesOwn picks the one of two random members with fewer outstanding
	// attempts of this node.
	TwoChoicesOwn
)

var policyNames = [...]string{"round_robin", "random", "least_in_flight", "two_choices", "two_choices_own"}

// String returns the policy's name.
func (p Policy) String() string {
	if int(p) < len(policyNames) {
		return policyNames[p]
	}
	return "invalid"
}

// Baseline is a Balancer that applies a Policy to all members, without a
// subset. It serves for comparison with the Router. It is not safe for
// concurrent use.
type Baseline struct {
	policy      Policy
	random      *rand.Rand
	members     []bulrushchute.Instance
	weights     Weights
	outstanding map[bulrushchute.InstanceID]int
	// otherLoad holds the last reported load of each instance, less the
	// outstanding attempts of this node.
	otherLoad map[bulrushchute.InstanceID]int
	cursor    int
}

var _ Balancer = (*Baseline)(nil)

// NewBaseline returns a Baseline without members.
func NewBaseline(policy Policy, random *rand.Rand) *Baseline {
	return &Baseline{
		policy:      policy,
		random:      random,
		outstanding: map[bulrushchute.InstanceID]int{},
		otherLoad:   map[bulrushchute.InstanceID]int{},
	}
}

// Update replaces the members and the weights of their data centres. Any
// weight above 0 counts as the full weight.
func (b *Baseline) Update(now bulrushchute.Millis, members []bulrushchute.Instance, weights Weights) {
	b.members = nil
	b.weights = weights
	for _, member := range members {
		if member.State.TakesWork() && weights[member.DataCentre].At(now) > 0 {
			b.members = append(b.members, member)
		}
	}
}

// Pick returns the instance that the policy chooses, or false when no member
// is eligible. It ignores PickQuery.Avoid.
func (b *Baseline) Pick(_ bulrushchute.Millis, query bulrushchute.PickQuery) (bulrushchute.Instance, bool) {
	eligible := b.eligible(query)
	if len(eligible) == 0 {
		return bulrushchute.Instance{}, false
	}
	switch b.policy {
	case RoundRobin:
		b.cursor++
		return eligible[b.cursor%len(eligible)], true
	case LeastInFlight:
		return b.leastLoaded(eligible), true
	case TwoChoices, TwoChoicesOwn:
		return b.twoChoices(eligible), true
	default:
		return eligible[b.random.IntN(len(eligible))], true
	}
}

// Started records that an attempt was sent to the instance.
func (b *Baseline) Started(_ bulrushchute.Millis, instance bulrushchute.InstanceID) {
	b.outstanding[instance]++
}

// Observe records the end of an attempt for which Started was called.
func (b *Baseline) Observe(_ bulrushchute.Millis, observation bulrushchute.Observation) {
	id := observation.Instance
	b.outstanding[id] = max(b.outstanding[id]-1, 0)
	if load := observation.Load; load != nil {
		b.otherLoad[id] = max(load.InFlight+load.Queued-b.outstanding[id], 0)
	}
}

func (b *Baseline) eligible(query bulrushchute.PickQuery) []bulrushchute.Instance {
	eligible := make([]bulrushchute.Instance, 0, len(b.members))
	for _, member := range b.members {
		if query.Version != "" && member.Version != query.Version {
			continue
		}
		if !slices.Contains(query.Exclude, member.ID) {
			eligible = append(eligible, member)
		}
	}
	return eligible
}

// leastLoaded starts at a random member, so that ties are broken at random.
func (b *Baseline) leastLoaded(eligible []bulrushchute.Instance) bulrushchute.Instance {
	first := b.random.IntN(len(eligible))
	best := eligible[first]
	for i := range eligible {
		member := eligible[(first+i)%len(eligible)]
		if b.load(member.ID) < b.load(best.ID) {
			best = member
		}
	}
	return best
}

func (b *Baseline) twoChoices(eligible []bulrushchute.Instance) bulrushchute.Instance {
	i := b.random.IntN(len(eligible))
	j := b.random.IntN(max(len(eligible)-1, 1))
	if j >= i && len(eligible) > 1 {
		j++
	}
	if b.load(eligible[j].ID) < b.load(eligible[i].ID) {
		return eligible[j]
	}
	return eligible[i]
}

func (b *Baseline) load(id bulrushchute.InstanceID) int {
	if b.policy == TwoChoices {
		return b.outstanding[id] + b.otherLoad[id]
	}
	return b.outstanding[id]
}
