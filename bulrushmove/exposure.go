package bulrushmove

import (
	"slices"

	"bulrushchute.example/bulrushchute"
)

// ExposureLimit limits the requests that the new version of an ordered move
// receives before it gets all of them. The zero value selects the defaults.
type ExposureLimit struct {
	// Ratio is the fraction of the service's requests since the order.
	Ratio float64
	// Slack is the number of requests beyond Ratio.
	Slack float64
}

// Defaults of ExposureLimit.
const (
	DefaultExposureRatio = 0.1
	DefaultExposureSlack = 50
)

func (el ExposureLimit) withDefaults() ExposureLimit {
	if el.Ratio == 0 && el.Slack == 0 {
		return ExposureLimit{Ratio: DefaultExposureRatio, Slack: DefaultExposureSlack}
	}
	return el
}

// grantedFraction is the part of the limit that is granted. The rest is a reserve,
// because what the backend servers have received is not counted by the nodes alone.
const grantedFraction = 0.95

// grantable returns the number of requests that may be granted once the service
// has had the given number of requests.
func (el ExposureLimit) grantable(serviceRequests float64) float64 {
	return grantedFraction * (float64(el.Ratio*serviceRequests) + el.Slack)
}

// Grant is the number of requests that one instance of the new version may receive
// in the whole move, until the version gets all requests.
type Grant struct {
	Instance bulrushchute.InstanceID `cbor:"1,keyasint" json:"instance"`
	Requests int                     `cbor:"2,keyasint" json:"requests"`
}

// totalGranted returns the number of requests that the grants permit together.
func totalGranted(grants []Grant) int {
	total := 0
	for _, grant := range grants {
		total += grant.Requests
	}
	return total
}

const (
	// maxCanaries limits the length of a share record.
	maxCanaries = 64
	// Grants are enlarged by at least minGrantIncrease requests and
	// minGrantIncreaseFraction, because each change is a store write and a record
	// for all nodes.
	minGrantIncrease         = 8
	minGrantIncreaseFraction = 0.1
)

// withGrants returns the grants enlarged to the given total. The increase is split
// among the canaries: the first wanted candidates, those with a grant before the
// others. Grants are never reduced and keep counting after their instance is gone,
// since it is not known how many of the requests it has received.
func withGrants(grants []Grant, candidates []bulrushchute.InstanceID, wanted, total int) []Grant {
	canaries := chooseCanaries(grants, candidates, min(wanted, maxCanaries))
	increase := total - totalGranted(grants)
	if len(canaries) == 0 || increase <= 0 {
		return grants
	}
	enlarged := slices.Clone(grants)
	for i, canary := range canaries {
		part := increase / len(canaries)
		if i < increase%len(canaries) {
			part++
		}
		at := slices.IndexFunc(enlarged, func(grant Grant) bool { return grant.Instance == canary })
		if at < 0 {
			enlarged = append(enlarged, Grant{Instance: canary, Requests: part})
			continue
		}
		enlarged[at].Requests += part
	}
	return enlarged
}

func chooseCanaries(grants []Grant, candidates []bulrushchute.InstanceID, wanted int) []bulrushchute.InstanceID {
	canaries := grantedCandidates(grants, candidates)
	for _, candidate := range candidates {
		if !slices.Contains(canaries, candidate) {
			canaries = append(canaries, candidate)
		}
	}
	return canaries[:min(wanted, len(canaries))]
}

// grantedCandidates returns the candidates that have a grant.
func grantedCandidates(grants []Grant, candidates []bulrushchute.InstanceID) []bulrushchute.InstanceID {
	var granted []bulrushchute.InstanceID
	for _, grant := range grants {
		if slices.Contains(candidates, grant.Instance) {
			granted = append(granted, grant.Instance)
		}
	}
	return granted
}

// serviceRequests returns the number of the service's requests since the order, as
// far as they were reported to one of the holders.
func (c *Controller) serviceRequests() float64 {
	requests, _, _ := c.judge.totals()
	return max(c.requestsBefore, requests)
}

// grantsFor returns the grants of a stage. The limit is spent by stages, so that
// enough of it is left for the stage under high load.
func (c *Controller) grantsFor(state State, stage int) []Grant {
	if !state.ordered() || stage == state.lastStage() {
		return state.Grants
	}
	next := state.stages()[stage]
	total := int(next.exposure * c.exposure.grantable(c.serviceRequests()))
	return withGrants(state.Grants, c.servers.Candidates, CanaryServers(next.share, c.servers.Old), total)
}

// enlargedGrants returns the grants to store during a stage, or false if they are
// to stay as they are: they are enlarged as the service's requests add up, and when
// no canary is left.
func (c *Controller) enlargedGrants(state State) ([]Grant, bool) {
	if !state.limited() || state.Stage == 0 {
		return nil, false
	}
	enlarged := c.grantsFor(state, state.Stage)
	granted, increase := totalGranted(state.Grants), totalGranted(enlarged)-totalGranted(state.Grants)
	if len(grantedCandidates(state.Grants, c.servers.Candidates)) == 0 {
		return enlarged, increase > 0
	}
	return enlarged, increase >= max(minGrantIncrease, int(minGrantIncreaseFraction*float64(granted)))
}

// enlargeGrants stores larger grants in a new epoch.
func (c *Controller) enlargeGrants(now bulrushchute.Millis, state State, grants []Grant) []Action {
	state.Epoch++
	state.Grants = grants
	state.Baselines = c.judge.Baselines()
	return c.writeState(now, state)
}

// totalMargin is the factor by which the requests until the deadline may exceed the
// mean rate since the order.
const totalMargin = 1.2

// exposureCoversAll reports whether the limit leaves room for all requests of the
// service from the order to the deadline, which is so for a service with few of them.
// The requests that are left shortly before the deadline always fit in, but after it
// the new version gets all requests.
func (c *Controller) exposureCoversAll(now bulrushchute.Millis, state State) bool {
	elapsed := max(now-state.OrderedAtMs, 1)
	whole := max(state.CompleteByMs+orderMargin-state.OrderedAtMs, elapsed)
	expected := totalMargin * c.serviceRequests() * float64(whole) / float64(elapsed)
	return expected <= c.exposure.grantable(expected)
}

// Quota counts the requests that an instance has received for a move, so that it
// does not exceed its grant. The zero value is empty. It is not safe for concurrent
// use.
type Quota struct {
	generation uint64
	used       int
}

// Take counts a request of the move's generation. It returns false if the grant is
// used up.
func (q *Quota) Take(generation uint64, granted int) bool {
	if q.generation != generation {
		*q = Quota{generation: generation}
	}
	if q.used >= granted {
		return false
	}
	q.used++
	return true
}

// Return uncounts a request that was not sent to the backend server.
func (q *Quota) Return(generation uint64) {
	if q.generation == generation && q.used > 0 {
		q.used--
	}
}
