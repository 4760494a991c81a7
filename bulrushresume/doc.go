// Package bulrushresume decides how attempts outlive the connection on which they were
// sent.
//
// It answers a fault under which every request of a caller can be lost: an open
// connection between two nodes goes silent, without a reset, while new connections
// work. Silence tells the entry node when a connection shows no life while attempts
// are outstanding on it. The entry node then opens another connection and asks the
// node beside the server about the attempts. Ledger holds what that node answers: an
// attempt that runs is moved to the new connection, an answer that was sent already is
// sent again, once, and for an attempt that never arrived the old connection is fenced,
// so that it cannot arrive later. Only then is "not run" true.
//
// The package has no I/O and no clock of its own. Its types are not safe for
// concurrent use.
package bulrushresume
