package bulrushkey

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"bulrushchute.example/bulrushchute"
)

// NewKeyMap distributes all partitions of a service as evenly as possible over
// its eligible members, for keys minted at since or later. It returns false if
// there are no eligible members.
func NewKeyMap(service bulrushchute.Service, members []Member, since bulrushchute.Millis) (KeyMap, bool) {
	homes := eligibleHomes(members)
	if len(homes) == 0 {
		return KeyMap{}, false
	}
	for i := range homes {
		homes[i].Epoch = 1
	}
	m := KeyMap{Service: service, Homes: homes, Partitions: make([]Assignment, PartitionCount), Epoch: 1}
	counts := make([]int, len(homes))
	for p := range m.Partitions {
		index := fewestPartitions(p, homes, counts)
		counts[index]++
		m.Partitions[p] = Assignment{Home: index, Epoch: 1, Since: since}
	}
	return m.compact(), true
}

// reassignTo returns a copy in which the partitions of the old home are
// distributed over the successors, each to the one with the fewest partitions.
func (m KeyMap) reassignTo(old bulrushchute.InstanceID, successors []Home, since bulrushchute.Millis) KeyMap {
	counts := make([]int, len(successors))
	for i, successor := range successors {
		counts[i] = len(m.PartitionsOf(successor.ID))
	}
	assigned := make([][]int, len(successors))
	for _, p := range m.PartitionsOf(old) {
		index := fewestPartitions(p, successors, counts)
		counts[index]++
		assigned[index] = append(assigned[index], p)
	}
	for i, successor := range successors {
		if len(assigned[i]) > 0 {
			m = m.WithHome(successor, since, assigned[i]...)
		}
	}
	return m
}

// eligibleHomes returns the eligible members as homes, sorted by ID.
func eligibleHomes(members []Member) []Home {
	var homes []Home
	for _, member := range members {
		if member.eligible() {
			homes = append(homes, Home{
				ID:         member.ID,
				DataCentre: member.DataCentre,
				Monitors:   limitMonitors(member.Neighbours),
			})
		}
	}
	slices.SortFunc(homes, func(a, b Home) int { return cmp.Compare(a.ID, b.ID) })
	return homes
}

func limitMonitors(monitors []LeaseMonitor) []LeaseMonitor {
	return slices.Clone(monitors[:min(len(monitors), MaxMonitors)])
}

// fewestPartitions returns the index of the home with the fewest partitions. Ties
// are broken by rendezvous hashing of the given partition, so that all nodes make
// the same choice and the choices do not concentrate on one home.
func fewestPartitions(partition int, homes []Home, counts []int) int {
	var label [8]byte
	binary.BigEndian.PutUint64(label[:], uint64(partition))
	best := 0
	for i := range homes {
		switch {
		case counts[i] < counts[best]:
			best = i
		case counts[i] == counts[best] && rendezvousScore(string(label[:]), homes[i].ID) > rendezvousScore(string(label[:]), homes[best].ID):
			best = i
		}
	}
	return best
}

func rendezvousScore(label string, id bulrushchute.InstanceID) uint64 {
	digest := xxhash.New()
	// Writes to a Digest never fail.
	_, _ = digest.WriteString(label)
	_, _ = digest.WriteString("/")
	_, _ = digest.WriteString(string(id))
	return digest.Sum64()
}

// proposerRank returns how many members come before this one in the order in
// which they may propose changes of the service's key map. It returns false for
// a member that is not eligible.
func proposerRank(service bulrushchute.Service, members []Member, id bulrushchute.InstanceID) (int, bool) {
	own := rendezvousScore(string(service), id)
	rank, found := 0, false
	for _, member := range members {
		switch {
		case !member.eligible():
		case member.ID == id:
			found = true
		case rendezvousScore(string(service), member.ID) > own:
			rank++
		}
	}
	return rank, found
}
