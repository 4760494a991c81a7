// Package bulrushcommand is the operator's command line. Every edit is a
// conditional update of the store, so that no accepted edit of another
// operator is overwritten unseen.
package bulrushcommand
