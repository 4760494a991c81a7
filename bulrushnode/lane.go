package bulrushnode

import (
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"sync"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushattempt"
	"bulrushchute.example/bulrushchute/bulrushboard"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
	"bulrushchute.example/bulrushchute/bulrushmove"
	"bulrushchute.example/bulrushchute/bulrushrouting"
)

// lane is what the entry side keeps for one service.
type lane struct {
	mutex   sync.Mutex
	router  bulrushrouting.Balancer
	budgets *bulrushattempt.Budgets
	// splitter divides requests between versions during a move.
	splitter *bulrushmove.Splitter
	// The revisions of the view that the router knows.
	members uint64
	weights uint64
	// retries bounds the further attempts of all nodes together.
	retries retryLimits
	// subset is the entry's value for which the router was made.
	subset int
}

// lanes holds a lane for each service that was called.
type lanes struct {
	settings bulrushrouting.Settings
	retries  retryLimits
	clock    bulrushchute.Clock
	mutex    sync.RWMutex
	byName   map[bulrushchute.Service]*lane
}

func newLanes(self bulrushchute.Instance, settings Settings, clock bulrushchute.Clock) *lanes {
	return &lanes{
		settings: bulrushrouting.Settings{Self: self.ID, DataCentre: self.DataCentre, HomeBias: settings.HomeBias},
		retries:  retryLimits{ratio: settings.RetryRatio, slack: settings.RetrySlack},
		clock:    clock,
		byName:   make(map[bulrushchute.Service]*lane),
	}
}

// setRetries puts other limits on further attempts in force.
func (l *lanes) setRetries(retries retryLimits, nodes int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.retries = retries
	for _, known := range l.byName {
		known.mutex.Lock()
		known.retries = retries
		known.budgets.SetLimits(retries.of(nodes))
		known.mutex.Unlock()
	}
}

// get returns the lane of a service that the catalogue holds.
func (l *lanes) get(service bulrushchute.Service, subset int) *lane {
	l.mutex.RLock()
	found := l.byName[service]
	l.mutex.RUnlock()
	if found != nil && found.subset == subset {
		return found
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if found = l.byName[service]; found != nil && found.subset == subset {
		return found
	}
	settings := l.settings
	settings.Subset = subset
	found = &lane{
		subset:   subset,
		retries:  l.retries,
		router:   bulrushrouting.NewRouter(settings, newRandom(string(settings.Self), string(service))),
		budgets:  bulrushattempt.NewBudgets(l.clock.Now()),
		splitter: bulrushmove.NewSplitter(newRandom(string(settings.Self), string(service), "split")),
	}
	l.byName[service] = found
	return found
}

// newRandom returns a source that differs between nodes and purposes.
func newRandom(seeds ...string) *rand.Rand {
	hash := fnv.New64a()
	for _, seed := range seeds {
		_, _ = hash.Write([]byte(seed))
	}
	return rand.New(rand.NewPCG(hash.Sum64(), 0))
}

// refresh passes members and weights to the router if they have changed. The
// caller holds the mutex.
func (l *lane) refresh(now bulrushchute.Millis, view bulrushboard.View, service bulrushchute.Service) {
	members := view.Members(service)
	if members.Revision == l.members && view.DataCentres.Revision == l.weights {
		return
	}
	l.members = members.Revision
	l.weights = view.DataCentres.Revision
	l.router.Update(now, members.Instances, view.DataCentres.Weights)
	l.budgets.SetLimits(l.retries.of(view.NodeCount()))
}

// retryLimits is the share of further attempts that the settings allow.
type retryLimits struct {
	ratio float64
	slack float64
}

// hedgePart is the part of the further attempts that may be hedges.
const hedgePart = 0.25

// of returns the limits of one out of a number of nodes.
func (rl retryLimits) of(nodes int) bulrushattempt.Limits {
	limits := bulrushattempt.DefaultLimits()
	if rl.ratio > 0 {
		limits.RetryRatio = rl.ratio * (1 - hedgePart)
		limits.HedgeRatio = rl.ratio * hedgePart
	}
	if rl.slack > 0 {
		burst := max(1, rl.slack/float64(max(1, nodes)))
		limits.RetryBurst = burst * (1 - hedgePart)
		limits.HedgeBurst = max(1, burst*hedgePart)
	}
	return limits
}

// pick chooses an instance of the version that the move's share selects. When
// the new version has none, the old one serves the request.
func (l *lane) pick(now bulrushchute.Millis, view bulrushboard.View, query bulrushchute.PickQuery) (bulrushchute.Instance, bool) {
	entry, _ := view.Catalogue.Service(query.Service)
	query.Version = l.splitter.NextVersion(entry, view.Shares)
	if entry.Move == nil {
		return l.router.Pick(now, query)
	}
	if query.Version != entry.Move.ToVersion {
		query = fromOld(query, *entry.Move)
		return l.router.Pick(now, query)
	}
	trial := query
	trial.Exclude = append(slices.Clone(query.Exclude), spared(view, entry)...)
	instance, found := l.router.Pick(now, trial)
	if found || entry.Move.Outcome == bulrushcatalogue.MoveCompleted {
		return instance, found
	}
	return l.router.Pick(now, fromOld(query, *entry.Move))
}

// spared returns the instances of the new version that get no requests yet.
// All nodes choose the same ones, so that the others carry an ordinary load.
func spared(view bulrushboard.View, entry bulrushcatalogue.ServiceEntry) []bulrushchute.InstanceID {
	share := view.Shares.ShareOf(entry.Service, entry.Move.Generation)
	if entry.Move.WithinMs == 0 || entry.Move.Outcome != "" || share >= bulrushmove.FullShare {
		return nil
	}
	members := view.Members(entry.Service).Instances
	trial := bulrushmove.CanaryServers(share, countServers(members, *entry.Move).Old)
	var rest []bulrushchute.InstanceID
	for _, member := range members {
		if member.Version != entry.Move.ToVersion || !member.State.TakesWork() {
			continue
		}
		if trial > 0 {
			trial--
			continue
		}
		rest = append(rest, member.ID)
	}
	return rest
}

// fromOld asks for an instance of the version that a move leads away from.
func fromOld(query bulrushchute.PickQuery, move bulrushcatalogue.Move) bulrushchute.PickQuery {
	query.Version = move.FromVersion
	if move.FromVersion == "" {
		query.Avoid = move.ToVersion
	}
	return query
}

// only reports whether no other instance could be tried after this one.
func (l *lane) only(now bulrushchute.Millis, query bulrushchute.PickQuery, instance bulrushchute.InstanceID) bool {
	query.Version = ""
	query.Exclude = append(slices.Clone(query.Exclude), instance)
	_, another := l.router.Pick(now, query)
	return !another
}

func (l *lane) observe(now bulrushchute.Millis, observation bulrushchute.Observation) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.router.Observe(now, observation)
}
