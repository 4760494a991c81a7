// Package bulrushbackend exchanges HTTP/1.1 messages with the backend server
// beside the node.
//
// It differs from net/http's client in what it tells about an exchange that
// failed: whether any byte of the request may have reached the server. It
// never repeats a request, checks a kept connection before it is used again,
// and drops answers that belong to another request.
package bulrushbackend
