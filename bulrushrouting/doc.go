// Package bulrushrouting chooses the backend server for an attempt.
//
// A Router serves one service on one entry node. It scores a bounded subset
// of the service's members by the time that an answer is expected to take,
// from what earlier answers carried and from the node's own unanswered
// attempts. The baselines choose by simpler rules behind the same interface,
// for comparison. No type here is safe for concurrent use.
package bulrushrouting
