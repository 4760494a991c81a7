// Package bulrushcaller serves the HTTP/1 requests of callers.
//
// It differs from net/http in that it serves pipelined requests side by side: a
// caller may send further requests before the response to the first one, and the
// server reads them ahead, within bounds, and passes those that are idempotent to
// the handler at once. The responses are sent in the order of the requests.
// net/http, which reads the next request only after a response, would make each of
// them wait for the work of the one before.
//
// The parser of messages is that of net/http. The connection loop is this
// package's own, because neither net/http nor a well-known library offers such a
// server for one whose handlers run concurrently.
package bulrushcaller
