package bulrushrouting

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"bulrushchute.example/bulrushchute"
)

// A quarter of a subset is taken from other data centres where possible, so
// that spill-over finds connections and known scores.
const otherShare = 4

// subsetOf chooses the instances that an entry node uses, by rendezvous hash:
// when a member comes or goes, at most one instance of the subset changes in
// each of its two parts.
func subsetOf(settings Settings, members []bulrushchute.Instance) []bulrushchute.Instance {
	if len(members) <= settings.Subset {
		return members
	}
	ranked := rankByHash(settings.Self, members)
	own, others := split(settings.DataCentre, ranked)
	fromOthers := max(settings.Subset/otherShare, settings.Subset-len(own))
	fromOthers = min(fromOthers, len(others))
	fromOwn := settings.Subset - fromOthers
	return append(own[:fromOwn:fromOwn], others[:fromOthers]...)
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

func pairHash(self, other bulrushchute.InstanceID) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(string(self))
	// The separator keeps ("ab", "c") apart from ("a", "bc").
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(string(other))
	return digest.Sum64()
}

func split(home bulrushchute.DataCentre, ranked []rankedInstance) (own, others []bulrushchute.Instance) {
	for _, ri := range ranked {
		if ri.instance.DataCentre == home {
			own = append(own, ri.instance)
		} else {
			others = append(others, ri.instance)
		}
	}
	return own, others
}
