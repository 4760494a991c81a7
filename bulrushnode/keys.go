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

// keys is the node's part in running keyed requests at most once: as entry
// node, as a key's home and as lease monitor of other homes.
type keys struct {
	clock     bulrushchute.Clock
	clockSkew bulrushchute.Millis
	board     *bulrushboard.Board
	store     bulrushchute.Store
	runner    *runner
	exchange  exchanger
	self      bulrushchute.InstanceID
	settings  bulrushkey.Settings
	// disabled is set when this deployment has no homes of keys.
	disabled bool
	tasks    *bulrushtask.Group
	// context ends when the node has stopped.
	context context.Context
	// control is set before any goroutine uses it.
	control *control

	mutex      sync.Mutex
	table      *bulrushkey.Table
	monitor    *bulrushkey.Monitor
	controller *bulrushkey.Controller
	service    bulrushchute.Service
	waiting    map[bulrushchute.AttemptID]chan bulrushchute.Reply
}

func newKeys(n *Node, self bulrushchute.InstanceID) *keys {
	settings := bulrushkey.DefaultSettings()
	settings.ClockSkew = n.settings.ClockSkewMs
	return &keys{
		clock:     n.clock,
		clockSkew: n.settings.ClockSkewMs,
		board:     n.board,
		store:     n.store,
		runner:    n.runner,
		exchange:  n.exchange,
		self:      self,
		settings:  settings,
		disabled:  n.settings.WithoutKeys,
		tasks:     bulrushtask.NewGroup(nil),
		context:   n.context,
		table:     bulrushkey.NewTable(settings),
		monitor:   bulrushkey.NewMonitor(settings),
		waiting:   make(map[bulrushchute.AttemptID]chan bulrushchute.Reply),
	}
}

// call sends a keyed request to the home of its key.
func (k *keys) call(ctx context.Context, view bulrushboard.View, prepared call, text string) callResult {
	key, err := bulrushkey.ParseKey(text)
	if err != nil {
		return notRun(bulrushchute.ReasonKeyFormat, 0)
	}
	home, found := homeOf(view, prepared.info.Service, key)
	if !found {
		return notRun(bulrushchute.ReasonKeyHome, retryAfterDefault)
	}
	attempt := prepared.attempt(k.clock.Now(), home.ID, prepared.info.Retry)
	attempt.Key = text
	ctx, cancel := context.WithTimeout(ctx, attempt.Remaining.Duration())
	defer cancel()
	reply, err := k.exchange(ctx, home, attempt)
	return keyedResult(reply, err)
}

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
	// A previous home that has gone leaves its keys to the present one, which
	// answers that their outcome is unknown.
	present, _, _ := keyMap.HomeOf(key.Partition())
	return view.Member(service, present.ID)
}

// keyedResult turns the home's reply into the caller's result. There is one
// attempt only: a repeat is the caller's decision, with the same key.
func keyedResult(reply bulrushchute.Reply, err error) callResult {
	end := endOf(1, reply, err).end
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
	verdict, wait := k.offer(key, attempt)
	switch verdict.Kind {
	case bulrushkey.DecisionRun:
		return k.run(key, attempt, deadline)
	case bulrushkey.DecisionWait:
		return k.await(ctx, key, attempt.ID, wait)
	default:
		return verdict.Reply
	}
}

func (k *keys) offer(key bulrushkey.Key, attempt bulrushchute.Attempt) (bulrushkey.Decision, <-chan bulrushchute.Reply) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.controller == nil || attempt.Service != k.service {
		return bulrushkey.Decision{Reply: refusalReply(bulrushchute.ReasonKeyHome, retryAfterDefault)}, nil
	}
	now := k.clock.Now()
	permit := k.controller.Permit(now, key.Partition())
	request := bulrushkey.Request{Key: key, Attempt: attempt.ID, Fingerprint: fingerprint(attempt)}
	verdict := k.table.Begin(now, request, permit)
	var wait chan bulrushchute.Reply
	if verdict.Kind == bulrushkey.DecisionWait {
		wait = make(chan bulrushchute.Reply, 1)
		k.waiting[attempt.ID] = wait
	}
	return verdict, wait
}

// fingerprint identifies the work that a request asks for. Parts are
// separated by a byte that cannot occur in the text before the body.
func fingerprint(attempt bulrushchute.Attempt) uint64 {
	digest := xxhash.New()
	for _, part := range []string{string(attempt.Tenant), attempt.Method, attempt.Path} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(attempt.Body)
	return digest.Sum64()
}

func (k *keys) await(ctx context.Context, key bulrushkey.Key, id bulrushchute.AttemptID, wait <-chan bulrushchute.Reply) bulrushchute.Reply {
	select {
	case reply := <-wait:
		return reply
	case <-ctx.Done():
		k.mutex.Lock()
		defer k.mutex.Unlock()
		delete(k.waiting, id)
		k.table.CancelWait(key, id)
		return bulrushchute.Reply{Failure: &bulrushchute.Failure{Reason: endReason(ctx)}}
	}
}

// endReason says why a context ended.
func endReason(ctx context.Context) bulrushchute.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return bulrushchute.ReasonDeadline
	}
	return bulrushchute.ReasonCancelled
}

// run runs a recorded key. It goes on when the caller has gone, because the
// caller may ask for the result with a repeat.
func (k *keys) run(key bulrushkey.Key, attempt bulrushchute.Attempt, deadline bulrushchute.Millis) bulrushchute.Reply {
	entry, _ := k.board.Read().Catalogue.Service(attempt.Service)
	resolved := bulrushcatalogue.Resolve(entry, attempt.Method, attempt.Path)
	template := attempt
	template.Key = ""
	result := k.runner.run(k.context, call{
		info: bulrushchute.RequestInfo{
			Service:  attempt.Service,
			Route:    resolved.Route,
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
	k.done(key, reply)
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

func (k *keys) done(key bulrushkey.Key, reply bulrushchute.Reply) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.release(k.table.Complete(k.clock.Now(), key, reply))
}

func (k *keys) release(release bulrushkey.Release) {
	for _, id := range release.Attempts {
		if wait, exists := k.waiting[id]; exists {
			delete(k.waiting, id)
			wait <- release.Reply
		}
	}
}

// isHome reports whether the node still answers for keys.
func (k *keys) isHome() bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.controller != nil && k.controller.IsHome()
}

// The methods below run in the controller's goroutine.

// join starts the node's part in the key map of its service.
func (k *keys) join(now bulrushchute.Millis, service bulrushchute.Service) {
	if k.disabled {
		return
	}
	k.mutex.Lock()
	if k.service == service {
		k.mutex.Unlock()
		return
	}
	k.service = service
	k.controller = bulrushkey.NewController(k.settings, service, k.self, newRandom(string(k.self), "keys"))
	keyMap, exists := k.board.Read().KeyMap(service)
	if exists {
		k.controller.SetMap(now, keyMap)
	}
	k.mutex.Unlock()
	k.membersChanged(now)
}

func (k *keys) leave(now bulrushchute.Millis) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.controller != nil {
		k.controller.Leave(now)
	}
}

func (k *keys) mapChanged(now bulrushchute.Millis, keyMap bulrushkey.KeyMap) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.controller != nil && keyMap.Service == k.service {
		k.controller.SetMap(now, keyMap)
	}
}

// membersChanged tells the controller who may be a home.
func (k *keys) membersChanged(now bulrushchute.Millis) {
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
			Neighbours: k.monitorsOf(instance),
		})
	}
	k.controller.SetMembers(now, members, lostDataCentres(view.Catalogue))
}

func (k *keys) monitorsOf(instance bulrushchute.Instance) []bulrushkey.LeaseMonitor {
	var monitors []bulrushkey.LeaseMonitor
	for _, id := range k.control.membership.NeighboursOf(instance.ID) {
		if neighbour, _ := k.control.membership.Member(id); neighbour.State == bulrushchute.StateLeaving {
			continue
		}
		monitors = append(monitors, bulrushkey.LeaseMonitor{ID: id, DataCentre: instance.DataCentre})
	}
	return monitors
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

// handle takes the control messages of the key protocol and returns false for others.
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
	message.From = k.self
	k.control.transport.Send(to, message)
}

// tick carries out what is due.
func (k *keys) tick(now bulrushchute.Millis) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	for _, release := range k.table.Tick(now) {
		k.release(release)
	}
	if k.controller == nil {
		return
	}
	for _, action := range k.controller.Tick(now) {
		k.carryOut(action)
	}
}

func (k *keys) carryOut(action bulrushkey.Action) {
	switch {
	case action.Heartbeat != nil:
		k.sendTo(action.To, bulrushchute.Control{Heartbeat: action.Heartbeat})
	case action.PromiseAsk != nil:
		k.sendTo(action.To, bulrushchute.Control{PromiseAsk: action.PromiseAsk})
	case action.Write != nil:
		write := *action.Write
		k.tasks.Start(k.context, "key map write", func(ctx context.Context) error {
			return k.write(ctx, write)
		})
	case action.Read:
		service := k.service
		k.tasks.Start(k.context, "key map read", func(ctx context.Context) error {
			return k.read(ctx, service)
		})
	}
}

func (k *keys) sendTo(id bulrushchute.InstanceID, message bulrushchute.Control) {
	if member, exists := k.control.membership.Member(id); exists {
		k.send(member.Address, message)
	}
}

func (k *keys) write(ctx context.Context, write bulrushkey.Write) error {
	operation := k.store.Update
	if write.Create {
		operation = k.store.Create
	}
	object, err := operation(ctx, write.Object)
	k.logWrite(write, err)
	k.report(ctx, object, err, (*bulrushkey.Controller).HandleWriteResult)
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

func (k *keys) read(ctx context.Context, service bulrushchute.Service) error {
	object, err := k.store.Get(ctx, bulrushchute.KindKeyMaps, string(service))
	k.report(ctx, object, err, (*bulrushkey.Controller).HandleReadResult)
	return err
}

// report passes the end of a store call to the controller, and a key map that
// is now known to the other nodes.
func (k *keys) report(ctx context.Context, object bulrushchute.Object, err error, take func(*bulrushkey.Controller, bulrushchute.Millis, bulrushchute.Object, error)) {
	k.control.do(ctx, func(now bulrushchute.Millis) {
		k.mutex.Lock()
		take(k.controller, now, object, err)
		k.mutex.Unlock()
		if err == nil {
			k.control.publishObject(now, object, false)
		}
	})
}
