// Package bulrushcommand implements the commands of bulrushctl. Every edit is a
// conditional write to the store, so that it cannot silently overwrite an edit
// that another operator has stored.
package bulrushcommand
