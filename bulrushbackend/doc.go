// Package bulrushbackend exchanges HTTP/1.1 messages with the backend server
// beside the node.
//
// Unlike net/http's client, it reports for a failed request whether any byte of
// it may have reached the server. It checks an idle connection before reusing
// it, discards answers to other requests, and never retries a request.
package bulrushbackend
