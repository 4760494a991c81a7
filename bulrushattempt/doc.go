// Package bulrushattempt decides when and how often a request is sent to
// backend servers, with retries and hedges, and what its caller receives.
//
// A Machine is the state machine of one request. The node calls Next for the
// next action, carries it out, and reports events. Budgets belong to one
// service on one entry node and are shared by the machines of its requests.
// Neither type is safe for concurrent use: the node guards both with one lock
// for each service.
//
// The node runs this loop:
//
//	for {
//		action := machine.Next(now)
//		switch action.Kind {
//		case ActionSend:   // pick an instance, then call Sent or NoBackend
//		case ActionWait:   // wait for an event, at most until action.Until
//		case ActionCancel: // cancel the attempt, then continue
//		case ActionFinish: // answer the caller with action.FinalResult and stop
//		}
//	}
package bulrushattempt
