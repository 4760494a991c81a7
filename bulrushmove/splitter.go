package bulrushmove

import (
	"math/rand/v2"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
)

// FullShare is the share of all requests, in basis points.
const FullShare = 10_000

// Splitter divides one service's requests on one entry node between two versions.
// Each request adds the share to an accumulator, and in each block of FullShare
// the request that crosses a random threshold goes to the new version. A fixed
// threshold would always select the same route if callers use the routes in a
// fixed cycle. The random initial phase makes the sum over many entry nodes with
// few requests each match the share. It is not safe for concurrent use.
type Splitter struct {
	random *rand.Rand
	// accumulated is the accumulator and threshold that of the current block, both
	// in basis points below FullShare.
	accumulated int
	threshold   int
	// dueForNew counts the requests due for the new version and not yet sent. A
	// request that crosses the thresholds of two blocks leaves one for the next
	// request.
	dueForNew int
}

// NewSplitter returns a splitter that draws its initial phase and its thresholds
// from random.
func NewSplitter(random *rand.Rand) *Splitter {
	return &Splitter{random: random, accumulated: random.IntN(FullShare), threshold: random.IntN(FullShare)}
}

// NextIsNew reports whether the next request goes to the new version, at a share in
// basis points. At a share of 0 or FullShare, none or all of the requests do.
func (s *Splitter) NextIsNew(share int) bool {
	if share <= 0 || share >= FullShare {
		// Requests due from an earlier share are dropped.
		s.dueForNew = 0
		return share > 0
	}
	previous := s.accumulated
	s.accumulated += share
	if s.threshold >= previous && s.threshold < s.accumulated {
		s.dueForNew++
	}
	if s.accumulated >= FullShare {
		s.accumulated -= FullShare
		s.threshold = s.random.IntN(FullShare)
		if s.threshold < s.accumulated {
			s.dueForNew++
		}
	}
	if s.dueForNew == 0 {
		return false
	}
	s.dueForNew--
	return true
}

// NextVersion returns the version for the next request of a service: the stable
// version if there is no move, otherwise the one selected by the current share.
func (s *Splitter) NextVersion(entry bulrushcatalogue.ServiceEntry, shares Shares) bulrushchute.Version {
	if entry.Move == nil {
		return entry.StableVersion
	}
	switch entry.Move.Outcome {
	case bulrushcatalogue.MoveCompleted:
		return entry.Move.ToVersion
	case bulrushcatalogue.MoveRolledBack:
		return entry.Move.FromVersion
	}
	if s.NextIsNew(shares.ShareOf(entry.Service, entry.Move.Generation)) {
		return entry.Move.ToVersion
	}
	return entry.Move.FromVersion
}
