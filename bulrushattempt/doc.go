// Package bulrushattempt decides how often and when one request is sent to
// backend servers, and what its caller is told in the end.
//
// A Machine belongs to one request. The node asks it for actions with Next,
// carries them out, and reports events. Budgets belong to one service on one
// entry node and are shared by its machines. Neither type is safe for
// concurrent use: the node guards them with one lock for each service.
//
// The loop of the node is:
//
//	for {
//		action := machine.Next(now)
//		switch action.Kind {
//		case ActionSend:   // pick an instance, then call Sent or NoBackend
//		case ActionWait:   // wait for an event, at most until action.Until
//		case ActionCancel: // cancel the attempt, then go on
//		case ActionFinish: // answer the caller with action.Final and stop
//		}
//	}
package bulrushattempt
