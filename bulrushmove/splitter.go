package bulrushmove

import (
	"math/rand/v2"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
)

// FullShare is the share of all requests, in basis points.
const FullShare = 10_000

// Splitter divides one service's requests on one entry node between two
// versions. Each request adds the share to an accumulator, and in each block of
// FullShare the request that crosses a random mark goes to the new version. A
// fixed mark would always meet the same route when callers use the routes in a
// fixed cycle. The random start phase makes the sum over many entry nodes with
// few requests each match the share. It is not safe for concurrent use.
type Splitter struct {
	random *rand.Rand
	filled int
	mark   int
	owed   int
}

// NewSplitter returns a splitter that draws its phase and marks from random.
func NewSplitter(random *rand.Rand) *Splitter {
	return &Splitter{random: random, filled: random.IntN(FullShare), mark: random.IntN(FullShare)}
}

// Next reports whether the next request goes to the new version, at a share in
// basis points. Shares of 0 and FullShare are exact.
func (s *Splitter) Next(share int) bool {
	if share <= 0 || share >= FullShare {
		// Marks passed at an earlier share are not made up for.
		s.owed = 0
		return share > 0
	}
	before := s.filled
	s.filled += share
	if s.mark >= before && s.mark < s.filled {
		s.owed++
	}
	if s.filled >= FullShare {
		s.filled -= FullShare
		s.mark = s.random.IntN(FullShare)
		if s.mark < s.filled {
			s.owed++
		}
	}
	if s.owed == 0 {
		return false
	}
	s.owed--
	return true
}

// Version returns the version for the next request of a service: the stable
// one without a move, otherwise the one that the share in force selects.
func (s *Splitter) Version(entry bulrushcatalogue.ServiceEntry, shares Shares) bulrushchute.Version {
	if entry.Move == nil {
		return entry.StableVersion
	}
	switch entry.Move.Settled {
	case bulrushcatalogue.MoveCompleted:
		return entry.Move.ToVersion
	case bulrushcatalogue.MoveRolledBack:
		return entry.Move.FromVersion
	}
	if s.Next(shares.Of(entry.Service, entry.Move.Generation)) {
		return entry.Move.ToVersion
	}
	return entry.Move.FromVersion
}
