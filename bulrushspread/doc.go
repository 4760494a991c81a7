// Package bulrushspread implements the gossip protocol that replicates records
// among nodes.
//
// A Table holds one node's replica of all records. It is a state machine
// without I/O: it takes messages and the current time and returns the messages
// to send. New versions are announced to the overlay neighbours, which request
// the values that they lack. Periodic digest comparisons repair lost updates.
// The number of bytes sent per second is limited.
package bulrushspread
