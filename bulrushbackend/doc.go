// Package bulrushbackend exchanges HTTP/1.1 messages with the backend server
// beside the node.
//
// Unlike net/http's client, it reports for a failed request whether any byte of
// it may have reached the server. It never retries a request, checks an idle
// connection before reusing it, and discards answers to other requests.
package bulrushbackend
