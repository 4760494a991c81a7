// Package bulrushkey decides which node may run the work of an idempotency
// key, so that a key runs at most once. It is deterministic: it has no I/O, no
// goroutines and no wall clock.
//
// Each key belongs to a partition, and the key map names the partition's home.
// A home records a new key only while it holds its lease and only if the key
// was minted since the home took the partition over. The parts are:
//
//   - Key: a UUID version 7 with its mint time and partition.
//   - KeyMap: the partitions' homes, stored as one object of kind keymaps.
//   - Lease: the home's view of the heartbeats that its lease monitors acknowledged.
//   - Monitor: acknowledgements and promises given to homes.
//   - Controller: one node's part in keeping the key map of its service.
//   - Table: the keys that a home has recorded, with their answers.
//
// Safety rests on one bound: readings of any two nodes' clocks at the same
// instant differ by at most Settings.ClockSkew.
package bulrushkey
