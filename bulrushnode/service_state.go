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

// serviceState is the state that an entry node keeps for one service.
type serviceState struct {
	mutex   sync.Mutex
	router  bulrushrouting.Balancer
	budgets *bulrushattempt.Budgets
	// splitter divides requests between the versions of a move.
	splitter *bulrushmove.Splitter
	// membersRevision and weightsRevision are the revisions of the view that were
	// last passed to the router.
	membersRevision uint64
	weightsRevision uint64
	// retries limits the retries and hedges of all nodes together.
	retries retryLimits
	// subset is the subset size for which the router was created.
	subset int
	// spentGrants holds the instances of a new version that are not tried now.
	spentGrants spentGrants
}

// serviceStates holds the state of each service that was called.
type serviceStates struct {
	settings  bulrushrouting.Settings
	retries   retryLimits
	clock     bulrushchute.Clock
	mutex     sync.RWMutex
	byService map[bulrushchute.Service]*serviceState
}

func newServiceStates(self bulrushchute.Instance, settings Settings, clock bulrushchute.Clock) *serviceStates {
	return &serviceStates{
		settings:  bulrushrouting.Settings{Self: self.ID, DataCentre: self.DataCentre, HomeBias: settings.HomeBias},
		retries:   retryLimits{ratio: settings.RetryRatio, slack: settings.RetrySlack},
		clock:     clock,
		byService: make(map[bulrushchute.Service]*serviceState),
	}
}

// setRetryLimits applies changed limits on retries and hedges.
func (ss *serviceStates) setRetryLimits(retries retryLimits, nodes int) {
	ss.mutex.Lock()
	defer ss.mutex.Unlock()
	ss.retries = retries
	for _, state := range ss.byService {
		state.mutex.Lock()
		state.retries = retries
		state.budgets.SetLimits(retries.perNode(nodes))
		state.mutex.Unlock()
	}
}

// get returns the state of a service. It creates the state on first use, and again
// when the subset size changes.
func (ss *serviceStates) get(service bulrushchute.Service, subset int) *serviceState {
	ss.mutex.RLock()
	state := ss.byService[service]
	ss.mutex.RUnlock()
	if state != nil && state.subset == subset {
		return state
	}
	ss.mutex.Lock()
	defer ss.mutex.Unlock()
	if state = ss.byService[service]; state != nil && state.subset == subset {
		return state
	}
	settings := ss.settings
	settings.Subset = subset
	state = &serviceState{
		subset:   subset,
		retries:  ss.retries,
		router:   bulrushrouting.NewRouter(settings, newRandom(string(settings.Self), string(service))),
		budgets:  bulrushattempt.NewBudgets(ss.clock.Now()),
		splitter: bulrushmove.NewSplitter(newRandom(string(settings.Self), string(service), "split")),

		spentGrants: make(spentGrants),
	}
	ss.byService[service] = state
	return state
}

// newRandom returns a random number generator whose seed differs between nodes
// and purposes.
func newRandom(seeds ...string) *rand.Rand {
	hash := fnv.New64a()
	for _, seed := range seeds {
		_, _ = hash.Write([]byte(seed))
	}
	return rand.New(rand.NewPCG(hash.Sum64(), 0))
}

// refresh passes members and weights to the router if they have changed. The
// mutex must be held.
func (ss *serviceState) refresh(now bulrushchute.Millis, view bulrushboard.View, service bulrushchute.Service) {
	members := view.Members(service)
	if members.Revision == ss.membersRevision && view.DataCentres.Revision == ss.weightsRevision {
		return
	}
	ss.membersRevision = members.Revision
	ss.weightsRevision = view.DataCentres.Revision
	ss.router.Update(now, members.Instances, view.DataCentres.Weights)
	ss.budgets.SetLimits(ss.retries.perNode(view.NodeCount()))
}

// retryLimits holds the limits on retries and hedges from the settings. Zero
// fields take the defaults.
type retryLimits struct {
	ratio float64
	slack float64
}

// hedgeFraction is the fraction of the attempts beyond the first that may be
// hedges.
const hedgeFraction = 0.25

// perNode returns the limits of one node when a number of nodes share them.
func (rl retryLimits) perNode(nodes int) bulrushattempt.Limits {
	limits := bulrushattempt.DefaultLimits()
	if rl.ratio > 0 {
		limits.RetryRatio = rl.ratio * (1 - hedgeFraction)
		limits.HedgeRatio = rl.ratio * hedgeFraction
	}
	if rl.slack > 0 {
		burst := max(1, rl.slack/float64(max(1, nodes)))
		limits.RetryBurst = burst * (1 - hedgeFraction)
		limits.HedgeBurst = max(1, burst*hedgeFraction)
	}
	return limits
}

// pick chooses an instance of the version that the move's share selects. If the
// new version has none, the old one serves the request until the move is
// completed.
func (ss *serviceState) pick(now bulrushchute.Millis, view bulrushboard.View, query bulrushchute.PickQuery) (bulrushchute.Instance, bool) {
	entry, _ := view.Catalogue.Service(query.Service)
	query.Version = ss.splitter.NextVersion(entry, view.Shares)
	if entry.Move == nil {
		return ss.router.Pick(now, query)
	}
	if query.Version != entry.Move.ToVersion {
		query = oldVersionQuery(query, *entry.Move)
		return ss.router.Pick(now, query)
	}
	canaryQuery := query
	canaryQuery.Exclude = append(slices.Clone(query.Exclude), ss.nonCanaries(now, view, entry)...)
	instance, found := ss.router.Pick(now, canaryQuery)
	if found || entry.Move.Outcome == bulrushcatalogue.MoveCompleted {
		return instance, found
	}
	return ss.router.Pick(now, oldVersionQuery(query, *entry.Move))
}

// nonCanaries returns the instances of the new version to which this node sends
// nothing: in an ordered move, those without a grant and those whose grant is used
// up.
func (ss *serviceState) nonCanaries(now bulrushchute.Millis, view bulrushboard.View, entry bulrushcatalogue.ServiceEntry) []bulrushchute.InstanceID {
	if entry.Move.WithinMs == 0 || entry.Move.Outcome != "" {
		return nil
	}
	var others []bulrushchute.InstanceID
	for _, member := range view.Members(entry.Service).Instances {
		if member.Version != entry.Move.ToVersion {
			continue
		}
		granted, limited := view.Shares.GrantOf(entry.Service, entry.Move.Generation, member.ID)
		if limited && (granted == 0 || ss.spentGrants.spent(now, member.ID, shareEpoch(view, entry.Service))) {
			others = append(others, member.ID)
		}
	}
	return others
}

func shareEpoch(view bulrushboard.View, service bulrushchute.Service) uint64 {
	share, _ := view.Shares.Latest(service)
	return share.Epoch
}

// spentGrantRetry is the time after which an instance is tried again although no
// newer grants are known. It may have received them before this node.
const spentGrantRetry = bulrushchute.Second

// spentGrants holds the instances that have refused a request because their grant
// is used up.
type spentGrants map[bulrushchute.InstanceID]spentGrant

type spentGrant struct {
	// epoch is that of the share under which the request was sent.
	epoch     uint64
	refusedAt bulrushchute.Millis
}

func (sg spentGrants) spent(now bulrushchute.Millis, instance bulrushchute.InstanceID, epoch uint64) bool {
	refusal, known := sg[instance]
	return known && refusal.epoch == epoch && now < refusal.refusedAt+spentGrantRetry
}

// oldVersionQuery restricts a query to the version that a move replaces. If the
// move does not name it, this is any version but the new one.
func oldVersionQuery(query bulrushchute.PickQuery, move bulrushcatalogue.Move) bulrushchute.PickQuery {
	query.Version = move.FromVersion
	if move.FromVersion == "" {
		query.Avoid = move.ToVersion
	}
	return query
}

// isOnlyChoice reports whether no other instance can be tried after this one.
func (ss *serviceState) isOnlyChoice(now bulrushchute.Millis, query bulrushchute.PickQuery, instance bulrushchute.InstanceID) bool {
	query.Version = ""
	query.Exclude = append(slices.Clone(query.Exclude), instance)
	_, found := ss.router.Pick(now, query)
	return !found
}

// observeSpentGrant records that an instance has refused a request, sent under a
// share of the given epoch, because its grant is used up.
func (ss *serviceState) observeSpentGrant(now bulrushchute.Millis, instance bulrushchute.InstanceID, epoch uint64) {
	ss.mutex.Lock()
	defer ss.mutex.Unlock()
	for other, refusal := range ss.spentGrants {
		if refusal.epoch < epoch {
			delete(ss.spentGrants, other)
		}
	}
	ss.spentGrants[instance] = spentGrant{epoch: epoch, refusedAt: now}
}

func (ss *serviceState) observe(now bulrushchute.Millis, observation bulrushchute.Observation) {
	ss.mutex.Lock()
	defer ss.mutex.Unlock()
	ss.router.Observe(now, observation)
}
