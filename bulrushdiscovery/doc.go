// Package bulrushdiscovery decides how a node that starts finds its peers through
// the list of addresses in the store.
//
// It answers two load patterns. When a whole fleet starts, thousands of nodes need
// the list within a second, while it is still empty; when many nodes restart, all of
// them ask for it, although most of the listed addresses are about to answer. In both
// cases a start costs a node about one call to the store, of which most are stale
// reads, and the list is written by a few nodes, whatever the size of the fleet.
//
// The package has no I/O and no clock of its own. A Seeker is not safe for concurrent
// use.
package bulrushdiscovery
