// Package bulrushkey decides which node may run the work of an idempotency
// key, so that a key runs at most once. It is deterministic: it has no I/O, no
// goroutines and no wall clock.
//
// Each key belongs to a partition, and the key map names the partition's home.
// A home records a new key only while it holds its lease, and only if the key
// was minted after the home was assigned the partition. The main types are:
//
//   - Key is a UUID version 7 with a mint time and a partition.
//   - KeyMap assigns the partitions to homes. It is stored as one object of kind
//     keymaps.
//   - lease tracks which heartbeats the lease monitors of a home acknowledged.
//   - Monitor acknowledges the heartbeats of homes and gives promises about them.
//   - Controller maintains the key map of the node's own service.
//   - Table holds the keys that a home has recorded, with their answers.
//
// Safety requires that the clocks of any two nodes differ by at most
// Settings.ClockSkew at any instant.
package bulrushkey
