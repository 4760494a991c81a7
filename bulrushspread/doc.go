// Package bulrushspread keeps one node's copy of all records and spreads
// changes among nodes.
//
// A Table takes messages and the time and returns the messages to send. New
// versions are announced to the neighbours, which ask for values that they
// lack; digests repair what was lost. The bytes sent per second are bounded.
package bulrushspread
