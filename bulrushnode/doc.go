// Package bulrushnode runs one node. It connects the packages that make the
// decisions to sockets, timers and the store.
//
// Each controller runs in its own goroutine and owns one part of the board. The
// data path reads the board once for each request.
package bulrushnode
