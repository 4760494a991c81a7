// Package bulrushkey decides which node may run the requests that carry an
// idempotency key, so that at most one request runs per key. "To run a key" is
// short for running a request that carries it. The package is deterministic: it
// has no I/O, no goroutines and no wall clock.
//
// Each key belongs to a partition, and the key map names the partition's home.
// A home records a new key only while it holds its lease, and only if the key
// was minted after the home was assigned the partition. To take over the
// partitions of a failed home, another node asks the home's lease monitors for
// promises. A promise is a monitor's assurance that it no longer extends the
// lease. With promises from a majority, the node waits until the lease must have
// expired and then writes a key map with new homes. The main types are:
//
//   - Key is a UUID version 7 with a mint time and a partition.
//   - KeyMap assigns the partitions to homes. It is stored as one object of kind
//     keymaps.
//   - lease is the home's side of a lease: it tracks which heartbeats the lease
//     monitors acknowledged.
//   - Monitor is the lease monitor's side: it acknowledges the heartbeats of homes
//     and gives promises.
//   - Controller maintains the key map of the node's own service.
//   - Table holds the keys that a home has recorded, with their answers.
//
// Safety requires that the clocks of any two nodes differ by at most
// Settings.ClockSkew at any instant.
package bulrushkey
