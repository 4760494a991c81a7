// Package bulrushcommand implements the commands of bulrushctl. Every edit is a
// conditional update of the store, so that it cannot silently overwrite an
// accepted edit of another operator.
package bulrushcommand
