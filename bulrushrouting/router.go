package bulrushrouting

import (
	"maps"
	"math/rand/v2"
	"slices"

	"bulrushchute.example/bulrushchute"
)

// Router is the Balancer of one service on one entry node. It is not safe for
// concurrent use.
type Router struct {
	settings Settings
	random   *rand.Rand
	// candidates holds the instances of all pools, and those that have left the
	// pools until their outstanding attempts end.
	candidates map[bulrushchute.InstanceID]*candidate
	// pools holds the subset in use for each version. That of the empty version
	// is chosen from the instances of all versions.
	pools    map[bulrushchute.Version][]*candidate
	weights  Weights
	rtts     rtts
	averages serviceAverages
}

var _ Balancer = (*Router)(nil)

// NewRouter returns a Router without members.
func NewRouter(settings Settings, random *rand.Rand) *Router {
	return &Router{
		settings:   settings.withDefaults(),
		random:     random,
		candidates: map[bulrushchute.InstanceID]*candidate{},
		rtts:       newRTTs(settings.DataCentre),
		averages:   serviceAverages{latencyMs: initialLatencyMs},
	}
}

// Update replaces the members and the weights of their data centres. It skips
// members that take no work and those in data centres with weight 0.
func (r *Router) Update(now bulrushchute.Millis, members []bulrushchute.Instance, weights Weights) {
	r.weights = weights
	r.pools = map[bulrushchute.Version][]*candidate{}
	for _, c := range r.candidates {
		c.inPool = false
	}
	byVersion := map[bulrushchute.Version][]bulrushchute.Instance{}
	for _, member := range members {
		if !member.State.TakesWork() || weights[member.DataCentre].At(now) == 0 {
			continue
		}
		byVersion[member.Version] = append(byVersion[member.Version], member)
		if member.Version != "" {
			byVersion[""] = append(byVersion[""], member)
		}
	}
	for version, instances := range byVersion {
		r.pools[version] = r.newPool(instances)
	}
	// Pools share instances, so the order has an effect. A fixed one makes runs
	// with the same seed reproducible.
	for _, version := range slices.Sorted(maps.Keys(r.pools)) {
		releaseExcess(now, r.pools[version])
	}
	r.prune()
}

// Pick returns the best of a few random candidates, or false when there is
// none. Only candidates in tierAvailable count towards Choices; the others are
// fallbacks.
func (r *Router) Pick(now bulrushchute.Millis, query bulrushchute.PickQuery) (bulrushchute.Instance, bool) {
	pool := r.pools[query.Version]
	var best selection
	compared := 0
	for i := 0; i < len(pool) && compared < r.settings.Choices; i++ {
		// A partial shuffle of the pool draws without replacement.
		j := i + r.random.IntN(len(pool)-i)
		pool[i], pool[j] = pool[j], pool[i]
		c := pool[i]
		if c.leaving || slices.Contains(query.Exclude, c.instance.ID) {
			continue
		}
		if query.Avoid != "" && c.instance.Version == query.Avoid {
			continue
		}
		tier, ok := r.tier(now, c)
		if !ok {
			continue
		}
		if tier == tierAvailable {
			compared++
		}
		best.consider(c, tier, r.scoreMs(now, c))
	}
	if best.candidate == nil {
		return bulrushchute.Instance{}, false
	}
	return best.candidate.instance, true
}

// Started records that an attempt was sent to the instance.
func (r *Router) Started(now bulrushchute.Millis, instance bulrushchute.InstanceID) {
	if c, ok := r.candidates[instance]; ok {
		c.outstanding.add(now)
	}
}

// Observe records the end of an attempt for which Started was called.
func (r *Router) Observe(now bulrushchute.Millis, observation bulrushchute.Observation) {
	c, ok := r.candidates[observation.Instance]
	if !ok {
		return
	}
	c.outstanding.remove(now - bulrushchute.Millis(observation.ElapsedMs))
	if observation.Load != nil {
		c.observeLoad(now, *observation.Load)
		r.updateAverageLoad(c)
	}
	r.observeResult(now, c, observation)
	r.pruneCandidate(c)
}

// Outstanding returns the number of this node's unanswered attempts at an
// instance.
func (r *Router) Outstanding(instance bulrushchute.InstanceID) int {
	if c, ok := r.candidates[instance]; ok {
		return c.outstanding.count()
	}
	return 0
}

func (r *Router) scoreMs(now bulrushchute.Millis, c *candidate) float64 {
	scoreMs := c.scoreMs(now, r.averages, r.rtts.estimateMs(c.instance.DataCentre))
	if c.instance.DataCentre != r.settings.DataCentre {
		scoreMs *= 1 + r.settings.HomeBias
	}
	return scoreMs * (1 + float64(scoreJitter*r.random.Float64()))
}

func (r *Router) observeResult(now bulrushchute.Millis, c *candidate, observation bulrushchute.Observation) {
	switch observation.Result {
	case bulrushchute.ResultAnswered:
		c.observeSuccess(now)
		r.observeAnswer(now, c, observation)
	case bulrushchute.ResultServerError, bulrushchute.ResultUnknown:
		r.observeFailure(now, c, 1)
	case bulrushchute.ResultNotSent:
		r.observeFailure(now, c, notSentWeight)
	case bulrushchute.ResultNotRun:
		c.observeRefusal(now, observation.SlowFor)
	case bulrushchute.ResultCancelled:
		r.observeCancelled(now, c, observation.ElapsedMs)
	}
}

func (r *Router) observeAnswer(now bulrushchute.Millis, c *candidate, observation bulrushchute.Observation) {
	dataCentre := c.instance.DataCentre
	if observation.Load != nil {
		r.rtts.observe(dataCentre, observation.ElapsedMs-observation.Load.ServiceMs)
	}
	sampleMs := max(observation.ElapsedMs-r.rtts.estimateMs(dataCentre), 0)
	c.observeLatency(now, sampleMs)
	if !r.averages.sampled {
		r.averages.latencyMs = sampleMs
		r.averages.sampled = true
	}
	r.averages.latencyMs += float64(averageSmoothing * (sampleMs - r.averages.latencyMs))
}

// observeCancelled uses the elapsed time of a cancelled attempt as a latency
// sample only if it exceeds the estimate, as it is a lower bound of the latency.
func (r *Router) observeCancelled(now bulrushchute.Millis, c *candidate, elapsedMs float64) {
	sampleMs := elapsedMs - r.rtts.estimateMs(c.instance.DataCentre)
	if sampleMs > c.latencyMs {
		c.observeLatency(now, sampleMs)
	}
}

func (r *Router) observeFailure(now bulrushchute.Millis, c *candidate, weight int) {
	c.observeFailure(now)
	if c.ejection.recordFailure(now, weight) && r.mayEject(now, c) {
		c.ejection.eject(now)
	}
}

func (r *Router) updateAverageLoad(c *candidate) {
	r.averages.otherLoad += float64(averageSmoothing * (c.otherLoad - r.averages.otherLoad))
	r.averages.outstandingAtReport += float64(averageSmoothing * (float64(c.outstandingAtReport) - r.averages.outstandingAtReport))
}

// tier returns the tier of a candidate, and false for an instance that must
// not be picked even as a fallback.
func (r *Router) tier(now bulrushchute.Millis, c *candidate) (tier, bool) {
	weight := r.weights[c.instance.DataCentre].At(now)
	switch {
	case weight == 0:
		return tierEjected, false
	case c.ejection.ejected(now):
		return tierEjected, true
	case c.ejection.atReadmitLimit(c.outstanding.count()):
		return tierReadmitLimit, true
	case now < c.backoffUntil:
		return tierBackoff, true
	case weight < 1 && r.random.Float64() >= weight:
		return tierRamping, true
	}
	return tierAvailable, true
}

func (r *Router) newPool(instances []bulrushchute.Instance) []*candidate {
	var pool []*candidate
	for _, instance := range subsetOf(r.settings, instances) {
		pool = append(pool, r.upsertCandidate(instance))
	}
	return pool
}

func (r *Router) upsertCandidate(instance bulrushchute.Instance) *candidate {
	c, ok := r.candidates[instance.ID]
	if !ok {
		c = newCandidate(instance)
		r.candidates[instance.ID] = c
	}
	if instance.Incarnation != c.instance.Incarnation {
		c.leaving = false
	}
	c.instance = instance
	c.inPool = true
	return c
}

func (r *Router) prune() {
	for _, c := range r.candidates {
		r.pruneCandidate(c)
	}
}

// pruneCandidate deletes an instance that is in no pool and has no outstanding
// attempts.
func (r *Router) pruneCandidate(c *candidate) {
	if !c.inPool && c.outstanding.count() == 0 {
		delete(r.candidates, c.instance.ID)
	}
}

// tier is the order of preference among candidates: the score decides only
// within a tier.
type tier uint8

const (
	tierAvailable tier = iota
	// tierRamping candidates are in a data centre whose weight is still ramping
	// up, and a random draw against that weight excluded them.
	tierRamping
	// tierBackoff candidates are in the backoff after a refusal.
	tierBackoff
	// tierReadmitLimit candidates have reached their readmission limit after an
	// ejection.
	tierReadmitLimit
	tierEjected
)

// selection holds the best candidate so far.
type selection struct {
	candidate *candidate
	tier      tier
	scoreMs   float64
}

func (s *selection) consider(c *candidate, tier tier, scoreMs float64) {
	if s.candidate != nil && (tier > s.tier || tier == s.tier && scoreMs >= s.scoreMs) {
		return
	}
	*s = selection{candidate: c, tier: tier, scoreMs: scoreMs}
}
