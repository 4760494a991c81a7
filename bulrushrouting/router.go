package bulrushrouting

import (
	"maps"
	"math/rand/v2"
	"slices"

	"bulrushchute.example/bulrushchute"
)

// Router is the Picker of one service on one entry node. It is not safe for
// concurrent use.
type Router struct {
	settings  Settings
	random    *rand.Rand
	known     map[bulrushchute.InstanceID]*candidate
	pools     map[bulrushchute.Version][]*candidate
	weights   Weights
	distances distances
	average   average
}

var _ Candidates = (*Router)(nil)

// NewRouter returns a Router without members.
func NewRouter(settings Settings, random *rand.Rand) *Router {
	return &Router{
		settings:  settings.withDefaults(),
		random:    random,
		known:     map[bulrushchute.InstanceID]*candidate{},
		distances: newDistances(settings.DataCentre),
		average:   average{latencyMs: startLatencyMs},
	}
}

// Update replaces the members and the weights of their data centres. Members
// that take no work and those in data centres without weight are left out.
func (r *Router) Update(now bulrushchute.Millis, members []bulrushchute.Instance, weights Weights) {
	r.weights = weights
	r.pools = map[bulrushchute.Version][]*candidate{}
	for _, c := range r.known {
		c.member = false
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
		r.pools[version] = r.pool(instances)
	}
	// Pools share instances, so a fixed order keeps runs with one seed equal.
	for _, version := range slices.Sorted(maps.Keys(r.pools)) {
		releaseExcess(now, r.pools[version])
	}
	r.forget()
}

// Pick returns the best of a few random candidates.
func (r *Router) Pick(now bulrushchute.Millis, query bulrushchute.PickQuery) (bulrushchute.Instance, bool) {
	pool := r.pools[query.Version]
	var chosen choice
	compared := 0
	for i := 0; i < len(pool) && compared < r.settings.Choices; i++ {
		j := i + r.random.IntN(len(pool)-i)
		pool[i], pool[j] = pool[j], pool[i]
		c := pool[i]
		if c.leaving || slices.Contains(query.Exclude, c.instance.ID) {
			continue
		}
		if query.Avoid != "" && c.instance.Version == query.Avoid {
			continue
		}
		rank, ok := r.rank(now, c)
		if !ok {
			continue
		}
		if rank == rankUsable {
			compared++
		}
		chosen.offer(c, rank, r.scoreMs(now, c))
	}
	if chosen.candidate == nil {
		return bulrushchute.Instance{}, false
	}
	return chosen.candidate.instance, true
}

// Started records that an attempt was sent to the instance.
func (r *Router) Started(now bulrushchute.Millis, instance bulrushchute.InstanceID) {
	if c, ok := r.known[instance]; ok {
		c.own.add(now)
	}
}

// Observe records the end of an attempt for which Started was called.
func (r *Router) Observe(now bulrushchute.Millis, observation bulrushchute.Observation) {
	c, ok := r.known[observation.Instance]
	if !ok {
		return
	}
	c.own.remove(now - bulrushchute.Millis(observation.ElapsedMs))
	if observation.Load != nil {
		c.observeLoad(*observation.Load)
		r.observeOthers(c)
	}
	r.observeResult(now, c, observation)
	r.forgetOne(c)
}

// Outstanding returns the node's own unanswered attempts at an instance.
func (r *Router) Outstanding(instance bulrushchute.InstanceID) int {
	if c, ok := r.known[instance]; ok {
		return c.own.count()
	}
	return 0
}

func (r *Router) scoreMs(now bulrushchute.Millis, c *candidate) float64 {
	scoreMs := c.scoreMs(now, r.average, r.distances.to(c.instance.DataCentre))
	if c.instance.DataCentre != r.settings.DataCentre {
		scoreMs *= 1 + r.settings.HomeBias
	}
	return scoreMs * (1 + scoreJitter*r.random.Float64())
}

func (r *Router) observeResult(now bulrushchute.Millis, c *candidate, observation bulrushchute.Observation) {
	switch observation.Result {
	case bulrushchute.ResultAnswered:
		c.observeGood(now)
		r.observeAnswer(now, c, observation)
	case bulrushchute.ResultServerError, bulrushchute.ResultUnknown:
		r.observeFailure(now, c, 1)
	case bulrushchute.ResultNotSent:
		r.observeFailure(now, c, notSentCount)
	case bulrushchute.ResultNotRun:
		c.observeRefusal(now)
	case bulrushchute.ResultCancelled:
		r.observeCancelled(now, c, observation.ElapsedMs)
	}
}

func (r *Router) observeAnswer(now bulrushchute.Millis, c *candidate, observation bulrushchute.Observation) {
	dataCentre := c.instance.DataCentre
	if observation.Load != nil {
		r.distances.observe(dataCentre, observation.ElapsedMs-observation.Load.ServiceMs)
	}
	ms := max(observation.ElapsedMs-r.distances.to(dataCentre), 0)
	c.observeLatency(now, ms)
	if !r.average.known {
		r.average.latencyMs = ms
		r.average.known = true
	}
	r.average.latencyMs += serviceStep * (ms - r.average.latencyMs)
}

// observeCancelled takes in an attempt that was given up. It would have taken
// longer, so it counts only when it already exceeds the estimate.
func (r *Router) observeCancelled(now bulrushchute.Millis, c *candidate, elapsedMs float64) {
	ms := elapsedMs - r.distances.to(c.instance.DataCentre)
	if ms > c.latencyMs {
		c.observeLatency(now, ms)
	}
}

func (r *Router) observeFailure(now bulrushchute.Millis, c *candidate, weight int) {
	c.observeError(now)
	if c.ejection.failed(now, weight) && r.mayEject(now, c) {
		c.ejection.eject(now)
	}
}

func (r *Router) observeOthers(c *candidate) {
	r.average.others += serviceStep * (c.others - r.average.others)
	r.average.own += serviceStep * (float64(c.ownThen) - r.average.own)
}

// rank sorts a candidate into those to use and those to fall back on. It
// returns false for an instance that must not be used at all.
func (r *Router) rank(now bulrushchute.Millis, c *candidate) (rank, bool) {
	weight := r.weights[c.instance.DataCentre].At(now)
	switch {
	case weight == 0:
		return rankEjected, false
	case c.ejection.ejected(now):
		return rankEjected, true
	case c.ejection.full(c.own.count()):
		return rankReadmitted, true
	case now < c.pauseUntil:
		return rankRefusing, true
	case weight < 1 && r.random.Float64() >= weight:
		return rankReturning, true
	}
	return rankUsable, true
}

func (r *Router) pool(instances []bulrushchute.Instance) []*candidate {
	var pool []*candidate
	for _, instance := range subsetOf(r.settings, instances) {
		pool = append(pool, r.join(instance))
	}
	return pool
}

func (r *Router) join(instance bulrushchute.Instance) *candidate {
	c, ok := r.known[instance.ID]
	if !ok {
		c = newCandidate(instance)
		r.known[instance.ID] = c
	}
	if instance.Incarnation != c.instance.Incarnation {
		c.leaving = false
	}
	c.instance = instance
	c.member = true
	return c
}

func (r *Router) forget() {
	for _, c := range r.known {
		r.forgetOne(c)
	}
}

// forgetOne drops an instance that is no member once its attempts have ended.
func (r *Router) forgetOne(c *candidate) {
	if !c.member && c.own.count() == 0 {
		delete(r.known, c.instance.ID)
	}
}

// rank orders candidates before their scores do.
type rank uint8

const (
	rankUsable rank = iota
	// rankReturning candidates are in a data centre that ramps up and were not drawn.
	rankReturning
	// rankRefusing candidates have refused an attempt a short time ago.
	rankRefusing
	// rankReadmitted candidates have as many attempts as they may after an ejection.
	rankReadmitted
	rankEjected
)

// choice holds the best candidate so far.
type choice struct {
	candidate *candidate
	rank      rank
	scoreMs   float64
}

func (ch *choice) offer(c *candidate, rank rank, scoreMs float64) {
	if ch.candidate != nil && (rank > ch.rank || rank == ch.rank && scoreMs >= ch.scoreMs) {
		return
	}
	*ch = choice{candidate: c, rank: rank, scoreMs: scoreMs}
}
