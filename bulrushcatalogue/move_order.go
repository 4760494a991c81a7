package bulrushcatalogue

import (
	"bulrushchute.example/bulrushchute"
)

// MoveOrder requests a move of a service to a version within a time limit. It
// is a separate object, for operators who do not edit the service's entry.
type MoveOrder struct {
	Service    bulrushchute.Service `json:"service" validate:"label"`
	Generation uint64               `json:"generation" validate:"min=1"`
	ToVersion  bulrushchute.Version `json:"to_version" validate:"version"`
	// WithinMs is the time limit of the move.
	WithinMs bulrushchute.Millis `json:"within_ms" validate:"min=1"`
	// Outcome is empty while the move is in progress.
	Outcome MoveOutcome `json:"settled,omitempty" validate:"omitempty,oneof=completed rolled_back"`
}

// ParseMoveOrder decodes and validates a move order. Errors are of type
// *bulrushchute.FieldError.
func ParseMoveOrder(document []byte) (MoveOrder, error) {
	order, err := decode[MoveOrder](document)
	if err != nil {
		return MoveOrder{}, err
	}
	return order, checkTags(order)
}

// WithMoveOrder returns a copy of the set with the order at a store version.
// The service's entry then includes the move, unless it has a move of its own.
//
// An order that is known from an earlier era of the store keeps its generation and
// its outcome: the store was restored from a copy, and the operator has written the
// order again.
func (s Set) WithMoveOrder(order MoveOrder, version uint64) Set {
	if known, ok := s.orderedMoves.get(order.Service); ok && known.sameOrder(order) && bulrushchute.EraOf(known.Generation) < bulrushchute.EraOf(version) {
		order.Generation = known.Generation
		if order.Outcome == "" {
			order.Outcome = known.Outcome
		}
	}
	move := &Move{
		Generation: order.Generation,
		ToVersion:  order.ToVersion,
		WithinMs:   order.WithinMs,
		Outcome:    order.Outcome,
	}
	s.orderedMoves = s.orderedMoves.with(order.Service, versionedEntry[*Move]{entry: move, version: version})
	return s
}

func (m *Move) sameOrder(order MoveOrder) bool {
	return m.ToVersion == order.ToVersion && m.WithinMs == order.WithinMs
}

// OrderedMove returns the move of a service's order, or nil if there is none.
func (s Set) OrderedMove(service bulrushchute.Service) *Move {
	move, _ := s.orderedMoves.get(service)
	return move
}

// WithoutMoveOrder returns a copy of the set in which the order was deleted at
// a store version.
func (s Set) WithoutMoveOrder(service bulrushchute.Service, version uint64) Set {
	s.orderedMoves = s.orderedMoves.with(service, versionedEntry[*Move]{version: version, deleted: true})
	return s
}
