package bulrushnode

import (
	"context"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushattempt"
	"bulrushchute.example/bulrushchute/bulrushboard"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
	"bulrushchute.example/bulrushchute/bulrushkey"
	"bulrushchute.example/bulrushchute/bulrushtask"
	"bulrushchute.example/bulrushchute/bulrushwire"
)

// keys implements the node's part in running keyed requests at most once, as
// entry node, as home and as lease monitor of other homes.
type keys struct {
	clock     bulrushchute.Clock
	clockSkew bulrushchute.Millis
	board     *bulrushboard.Board
	store     bulrushchute.Store
	runner    *runner
	exchange  exchanger
	id        bulrushchute.InstanceID
	settings  bulrushkey.Settings
	// disabled is set when this deployment has no homes of idempotency keys.
	disabled bool
	tasks    *bulrushtask.Group
	// context is cancelled at the end of the drain.
	context context.Context
	// control is set before any goroutine uses it.
	control *control

	// mutex guards the fields below.
	mutex   sync.Mutex
	table   *bulrushkey.Table
	monitor *bulrushkey.Monitor
	// controller is nil until the service of the backend server is known, and always
	// if disabled is set.
	controller *bulrushkey.Controller
	service    bulrushchute.Service
	// waiters receive the replies to attempts that wait for the request of the same
	// key to end.
	waiters map[bulrushchute.AttemptID]chan bulrushchute.Reply
}

func newKeys(n *Node, id bulrushchute.InstanceID) *keys {
	settings := bulrushkey.DefaultSettings()
	settings.ClockSkew = n.settings.ClockSkewMs
	return &keys{
		clock:     n.clock,
		clockSkew: n.settings.ClockSkewMs,
		board:     n.board,
		store:     n.store,
		runner:    n.runner,
		exchange:  n.exchange,
		id:        id,
		settings:  settings,
		disabled:  n.settings.WithoutKeys,
		tasks:     bulrushtask.NewGroup(nil),
		context:   n.context,
		table:     bulrushkey.NewTable(settings),
		monitor:   bulrushkey.NewMonitor(settings),
		waiters:   make(map[bulrushchute.AttemptID]chan bulrushchute.Reply),
	}
}

// callHome sends a keyed request to the home of its key.
func (k *keys) callHome(ctx context.Context, view bulrushboard.View, prepared call, keyText string) callResult {
	key, err := bulrushkey.ParseKey(keyText)
	if err != nil {
		return notRun(bulrushchute.ReasonKeyFormat, 0)
	}
	home, found := homeOf(view, prepared.info.Service, key)
	if !found {
		return notRun(bulrushchute.ReasonKeyHome, retryAfterDefault)
	}
	attempt := prepared.newAttempt(k.clock.Now(), home.ID, prepared.info.Retry)
	attempt.Key = keyText
	ctx, cancel := context.WithTimeout(ctx, attempt.Remaining.Duration())
	defer cancel()
	reply, err := k.exchange(ctx, home, attempt)
	return keyedResult(reply, err)
}

// homeOf returns the instance that handles a key, or false if none is known.
func homeOf(view bulrushboard.View, service bulrushchute.Service, key bulrushkey.Key) (bulrushchute.Instance, bool) {
	keyMap, exists := view.KeyMap(service)
	if !exists {
		return bulrushchute.Instance{}, false
	}
	home, assigned := keyMap.InstanceFor(key)
	if !assigned {
		return bulrushchute.Instance{}, false
	}
	if member, known := view.Member(service, home); known {
		return member, true
	}
	// Keys minted before a handover belong to the previous home. If that is gone,
	// the current one handles them, and replies that their outcome is unknown.
	current, _, _ := keyMap.HomeOf(key.Partition())
	return view.Member(service, current.ID)
}

// keyedResult converts the home's reply to the result for the caller. There is
// only one attempt. The caller may repeat the request with the same key.
func keyedResult(reply bulrushchute.Reply, err error) callResult {
	end := attemptResultOf(1, reply, err).end
	switch end.Result {
	case bulrushchute.ResultAnswered, bulrushchute.ResultServerError:
		return callResult{final: answeredFinal(), answer: reply.Answer}
	case bulrushchute.ResultNotRun:
		return notRun(end.Reason, end.RetryAfter)
	case bulrushchute.ResultNotSent:
		return notRun(bulrushchute.ReasonKeyHome, retryAfterDefault)
	default:
		return callResult{final: bulrushattempt.FinalResult{Outcome: bulrushchute.OutcomeUnknown, Reason: end.Reason}}
	}
}

func answeredFinal() bulrushattempt.FinalResult {
	return bulrushattempt.FinalResult{Outcome: bulrushchute.OutcomeAnswered, Attempt: 1}
}

// serve runs a keyed request at the home of its key.
func (k *keys) serve(ctx context.Context, attempt bulrushchute.Attempt) bulrushchute.Reply {
	key, err := bulrushkey.ParseKey(attempt.Key)
	if err != nil {
		return refusalReply(bulrushchute.ReasonKeyFormat, 0)
	}
	deadline := localDeadline(k.clock.Now(), attempt, k.clockSkew)
	decision, wait := k.begin(key, attempt)
	switch decision.Kind {
	case bulrushkey.DecisionRun:
		return k.run(key, attempt, deadline)
	case bulrushkey.DecisionWait:
		return k.await(ctx, key, attempt.ID, wait)
	default:
		return decision.Reply
	}
}

// begin decides whether the request of a key runs, waits for an earlier request of
// the same key, or gets a reply at once.
func (k *keys) begin(key bulrushkey.Key, attempt bulrushchute.Attempt) (bulrushkey.Decision, <-chan bulrushchute.Reply) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.controller == nil || attempt.Service != k.service {
		return bulrushkey.Decision{Reply: refusalReply(bulrushchute.ReasonKeyHome, retryAfterDefault)}, nil
	}
	now := k.clock.Now()
	permit := k.controller.Permit(now, key.Partition())
	request := bulrushkey.Request{Key: key, Attempt: attempt.ID, Fingerprint: fingerprint(attempt)}
	decision := k.table.Begin(now, request, permit)
	var wait chan bulrushchute.Reply
	if decision.Kind == bulrushkey.DecisionWait {
		wait = make(chan bulrushchute.Reply, 1)
		k.waiters[attempt.ID] = wait
	}
	return decision, wait
}

// fingerprint returns a hash of the content of a request, to detect a key that is
// reused for a different request. The zero byte that ends each part cannot occur
// in the parts before the body.
func fingerprint(attempt bulrushchute.Attempt) uint64 {
	hash := xxhash.New()
	for _, part := range []string{string(attempt.Tenant), attempt.Method, attempt.Path} {
		_, _ = hash.WriteString(part)
		_, _ = hash.Write([]byte{0})
	}
	_, _ = hash.Write(attempt.Body)
	return hash.Sum64()
}

func (k *keys) await(ctx context.Context, key bulrushkey.Key, id bulrushchute.AttemptID, wait <-chan bulrushchute.Reply) bulrushchute.Reply {
	select {
	case reply := <-wait:
		return reply
	case <-ctx.Done():
		k.mutex.Lock()
		defer k.mutex.Unlock()
		delete(k.waiters, id)
		k.table.CancelWait(key, id)
		return bulrushchute.Reply{Failure: &bulrushchute.Failure{Reason: endReason(ctx)}}
	}
}

// endReason returns the reason for which a context ended.
func endReason(ctx context.Context) bulrushchute.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return bulrushchute.ReasonDeadline
	}
	return bulrushchute.ReasonCancelled
}

// run runs the request of a recorded key. It continues if the caller disconnects,
// because the caller may repeat the request to get the result.
func (k *keys) run(key bulrushkey.Key, attempt bulrushchute.Attempt, deadline bulrushchute.Millis) bulrushchute.Reply {
	entry, _ := k.board.Read().Catalogue.Service(attempt.Service)
	policy := bulrushcatalogue.Resolve(entry, attempt.Method, attempt.Path)
	template := attempt
	template.Key = ""
	result := k.runner.run(k.context, call{
		info: bulrushchute.RequestInfo{
			Service:  attempt.Service,
			Route:    policy.Route,
			Tenant:   attempt.Tenant,
			Class:    attempt.Class,
			Deadline: deadline,
			Retry:    attempt.Retry,
			Depth:    attempt.Depth,
		},
		template: template,
		subset:   entry.Subset,
	})
	reply := replyOfCall(result)
	k.complete(key, reply)
	return reply
}

func replyOfCall(result callResult) bulrushchute.Reply {
	switch result.final.Outcome {
	case bulrushchute.OutcomeAnswered:
		answer := bulrushwire.AddChecksum(*result.answer)
		return bulrushchute.Reply{Answer: &answer}
	case bulrushchute.OutcomeNotRun:
		return refusalReply(result.final.Reason, result.final.RetryAfter)
	default:
		return bulrushchute.Reply{Failure: &bulrushchute.Failure{Reason: result.final.Reason}}
	}
}

func (k *keys) complete(key bulrushkey.Key, reply bulrushchute.Reply) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.deliver(k.table.Complete(k.clock.Now(), key, reply))
}

func (k *keys) deliver(release bulrushkey.Release) {
	for _, id := range release.Attempts {
		if wait, exists := k.waiters[id]; exists {
			delete(k.waiters, id)
			wait <- release.Reply
		}
	}
}

// isHome reports whether the node is still the home of any keys.
func (k *keys) isHome() bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.controller != nil && k.controller.IsHome()
}

// The methods below run in control's goroutine, except writeMap and readMap, which
// call the store, and the methods that these call outside of control.do.

// setService starts the controller for the key map of a service, unless it runs
// already.
func (k *keys) setService(now bulrushchute.Millis, service bulrushchute.Service) {
	if k.disabled {
		return
	}
	k.mutex.Lock()
	if k.service == service {
		k.mutex.Unlock()
		return
	}
	k.service = service
	k.controller = bulrushkey.NewController(k.settings, service, k.id, newRandom(string(k.id), "keys"))
	keyMap, exists := k.board.Read().KeyMap(service)
	if exists {
		k.controller.SetMap(now, keyMap)
	}
	k.mutex.Unlock()
	k.updateMembers(now)
}

func (k *keys) leave(now bulrushchute.Millis) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.controller != nil {
		k.controller.Leave(now)
	}
}

func (k *keys) setMap(now bulrushchute.Millis, keyMap bulrushkey.KeyMap) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.controller != nil && keyMap.Service == k.service {
		k.controller.SetMap(now, keyMap)
	}
}

// updateMembers passes the members of the service, which may become homes, to the
// controller.
func (k *keys) updateMembers(now bulrushchute.Millis) {
	view := k.board.Read()
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.controller == nil {
		return
	}
	instances := view.Members(k.service).Instances
	members := make([]bulrushkey.Member, 0, len(instances))
	for _, instance := range instances {
		members = append(members, bulrushkey.Member{
			ID:         instance.ID,
			DataCentre: instance.DataCentre,
			State:      instance.State,
			Neighbours: k.neighboursOf(instance),
		})
	}
	k.controller.SetMembers(now, members, lostDataCentres(view.Catalogue))
}

// neighboursOf returns the overlay neighbours of an instance in its data centre,
// which may be its lease monitors. Leaving ones are excluded.
func (k *keys) neighboursOf(instance bulrushchute.Instance) []bulrushkey.LeaseMonitor {
	var neighbours []bulrushkey.LeaseMonitor
	for _, id := range k.control.membership.NeighboursOf(instance.ID) {
		if neighbour, _ := k.control.membership.Member(id); neighbour.State == bulrushchute.StateLeaving {
			continue
		}
		neighbours = append(neighbours, bulrushkey.LeaseMonitor{ID: id, DataCentre: instance.DataCentre})
	}
	return neighbours
}

func lostDataCentres(catalogue bulrushcatalogue.Set) []bulrushchute.DataCentre {
	var lost []bulrushchute.DataCentre
	for _, name := range catalogue.DataCentres() {
		if entry, _ := catalogue.DataCentre(name); entry.State == bulrushcatalogue.DataCentreLost {
			lost = append(lost, name)
		}
	}
	return lost
}

// handle handles the control messages of the key protocol. It returns false for
// other messages.
func (k *keys) handle(now bulrushchute.Millis, from bulrushchute.Address, message bulrushchute.Control) bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	switch {
	case message.Heartbeat != nil && message.Heartbeat.KeyLease:
		ack := k.monitor.HandleHeartbeat(now, message.From, *message.Heartbeat)
		k.send(from, bulrushchute.Control{HeartbeatAck: &ack})
	case message.HeartbeatAck != nil && message.HeartbeatAck.KeyLease:
		if k.controller != nil {
			k.controller.HandleHeartbeatAck(now, message.From, *message.HeartbeatAck)
		}
	case message.PromiseAsk != nil:
		_, alive := k.control.membership.Member(message.PromiseAsk.Home)
		promise := k.monitor.HandlePromiseAsk(now, *message.PromiseAsk, !alive)
		k.send(from, bulrushchute.Control{Promise: &promise})
	case message.Promise != nil:
		if k.controller != nil {
			k.controller.HandlePromise(now, message.From, *message.Promise)
		}
	default:
		return false
	}
	return true
}

func (k *keys) send(to bulrushchute.Address, message bulrushchute.Control) {
	message.From = k.id
	k.control.transport.Send(to, message)
}

// tick replies to waiting requests that are due and runs the actions of the
// controller.
func (k *keys) tick(now bulrushchute.Millis) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	for _, release := range k.table.Tick(now) {
		k.deliver(release)
	}
	if k.controller == nil {
		return
	}
	for _, action := range k.controller.Tick(now) {
		k.runAction(action)
	}
}

func (k *keys) runAction(action bulrushkey.Action) {
	switch {
	case action.Heartbeat != nil:
		k.sendToMember(action.To, bulrushchute.Control{Heartbeat: action.Heartbeat})
	case action.PromiseAsk != nil:
		k.sendToMember(action.To, bulrushchute.Control{PromiseAsk: action.PromiseAsk})
	case action.Write != nil:
		write := *action.Write
		k.tasks.Start(k.context, "key map write", func(ctx context.Context) error {
			return k.writeMap(ctx, write)
		})
	case action.Read:
		service := k.service
		k.tasks.Start(k.context, "key map read", func(ctx context.Context) error {
			return k.readMap(ctx, service)
		})
	}
}

func (k *keys) sendToMember(id bulrushchute.InstanceID, message bulrushchute.Control) {
	if member, exists := k.control.membership.Member(id); exists {
		k.send(member.Address, message)
	}
}

func (k *keys) writeMap(ctx context.Context, write bulrushkey.Write) error {
	operation := k.store.Update
	if write.Create {
		operation = k.store.Create
	}
	object, err := operation(ctx, write.Object)
	k.logWrite(write, err)
	k.handleStoreResult(ctx, object, err, (*bulrushkey.Controller).HandleWriteResult)
	return err
}

func (k *keys) logWrite(write bulrushkey.Write, err error) {
	switch {
	case err == nil:
		klog.InfoS("key map written", "service", write.Object.Name, "based_on", write.Object.Version)
	case bulrushchute.LostRace(err):
		klog.V(1).InfoS("key map written by another node", "service", write.Object.Name)
	default:
		klog.ErrorS(err, "key map not written", "service", write.Object.Name)
	}
}

func (k *keys) readMap(ctx context.Context, service bulrushchute.Service) error {
	object, err := k.store.Get(ctx, bulrushchute.KindKeyMaps, string(service))
	k.handleStoreResult(ctx, object, err, (*bulrushkey.Controller).HandleReadResult)
	return err
}

// handleStoreResult passes the result of a store call to the controller. If the
// call returned a key map, it is published to the other nodes.
func (k *keys) handleStoreResult(ctx context.Context, object bulrushchute.Object, err error, handle func(*bulrushkey.Controller, bulrushchute.Millis, bulrushchute.Object, error)) {
	k.control.do(ctx, func(now bulrushchute.Millis) {
		k.mutex.Lock()
		handle(k.controller, now, object, err)
		k.mutex.Unlock()
		if err == nil {
			k.control.publishObject(now, object, false)
		}
	})
}
