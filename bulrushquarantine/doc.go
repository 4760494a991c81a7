// Package bulrushquarantine recognises requests that crash the backend servers that
// run them, and decides when and where such a request may run.
//
// It answers a request that comes again and again, with a new ID each time, at any
// node, and ends each server that begins to run it. Runs tells which requests a server
// ran when it ended. Their contents are suspect from then on. Trials lets the suspect
// requests run one at a time on a server, and Place chooses one server for each, so
// that a second crash has one suspect left: that content is quarantined. A content
// that runs to its end anywhere is free again, so a request that ran by chance when
// servers were killed is not refused. Ledger holds the reports of all nodes and comes
// to the same verdict on each of them.
//
// The package has no I/O and no clock of its own. Its types are not safe for
// concurrent use.
package bulrushquarantine
