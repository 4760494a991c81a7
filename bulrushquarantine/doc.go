// Package bulrushquarantine recognises requests that crash the backend servers that
// run them.
//
// The package has no I/O and no clock of its own. Its types are not safe for
// concurrent use.
package bulrushquarantine
