// Package bulrushfreshness decides how long a node may rely on its copy of the
// catalogue, and what it does to learn whether the copy is still current.
//
// A copy of a node that cannot be told apart from an outdated one is the fault that
// this package is for: a node that has not joined the others, that lost an
// announcement, or whose data centre has no working reader serves on without
// noticing. Therefore one node reads the store at short intervals and spreads a
// Confirmation, and each node compares it with its own copy. A node that gets no
// confirmation, or one that its copy does not match, repairs the copy itself.
//
// The package has no I/O and no clock of its own. Its Tracker is not safe for
// concurrent use.
package bulrushfreshness
