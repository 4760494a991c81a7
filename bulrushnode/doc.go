// Package bulrushnode runs one node. It connects the packages that make the
// decisions to sockets, timers and the store.
//
// One goroutine, that of control, owns what the node knows of the other nodes
// and of the catalogue. It publishes this on the board as immutable views, which
// the data path reads without a lock.
package bulrushnode
