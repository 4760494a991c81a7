package bulrushrouting

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"bulrushchute.example/bulrushchute"
)

// remoteDivisor reserves a quarter of a subset for other data centres where
// possible, so that requests which spill over find open connections and known
// scores.
const remoteDivisor = 4

// subsetOf chooses the instances that an entry node uses, by rendezvous
// hashing: when a member joins or leaves, at most one instance changes in each
// of the two parts of the subset, the local and the remote one.
func subsetOf(settings Settings, members []bulrushchute.Instance) []bulrushchute.Instance {
	if len(members) <= settings.Subset {
		return members
	}
	ranked := rankByHash(settings.Self, members)
	local, remote := splitByDataCentre(settings.DataCentre, ranked)
	remoteCount := max(settings.Subset/remoteDivisor, settings.Subset-len(local))
	remoteCount = min(remoteCount, len(remote))
	localCount := settings.Subset - remoteCount
	return append(local[:localCount:localCount], remote[:remoteCount]...)
}

type rankedInstance struct {
	instance bulrushchute.Instance
	hash     uint64
}

func rankByHash(self bulrushchute.InstanceID, members []bulrushchute.Instance) []rankedInstance {
	ranked := make([]rankedInstance, len(members))
	for i, member := range members {
		ranked[i] = rankedInstance{instance: member, hash: pairHash(self, member.ID)}
	}
	slices.SortFunc(ranked, func(a, b rankedInstance) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.instance.ID, b.instance.ID))
	})
	return ranked
}

func pairHash(self, member bulrushchute.InstanceID) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(string(self))
	// The separator distinguishes ("ab", "c") from ("a", "bc").
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(string(member))
	return digest.Sum64()
}

func splitByDataCentre(dataCentre bulrushchute.DataCentre, ranked []rankedInstance) (local, remote []bulrushchute.Instance) {
	for _, ri := range ranked {
		if ri.instance.DataCentre == dataCentre {
			local = append(local, ri.instance)
		} else {
			remote = append(remote, ri.instance)
		}
	}
	return local, remote
}
