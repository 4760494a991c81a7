package bulrushcatalogue

import (
	"bulrushchute.example/bulrushchute"
)

// MoveOrder asks for a move of a service to a version within some time. It is
// an object of its own, for operators who do not edit the service's entry.
type MoveOrder struct {
	Service    bulrushchute.Service `json:"service" validate:"label"`
	Generation uint64               `json:"generation" validate:"min=1"`
	ToVersion  bulrushchute.Version `json:"to_version" validate:"version"`
	// WithinMs is the time for the move.
	WithinMs bulrushchute.Millis `json:"within_ms" validate:"min=1"`
	// Settled is the outcome, empty while the move goes on.
	Settled MoveSettled `json:"settled,omitempty" validate:"omitempty,oneof=completed rolled_back"`
}

// ParseMoveOrder reads a move order and checks it. Errors are
// *bulrushchute.FieldError.
func ParseMoveOrder(document []byte) (MoveOrder, error) {
	order, err := decode[MoveOrder](document)
	if err != nil {
		return MoveOrder{}, err
	}
	return order, checkTags(order)
}

// WithMoveOrder returns a set that holds the order at a store version. The
// service's entry then shows the move.
func (s Set) WithMoveOrder(order MoveOrder, version uint64) Set {
	move := &Move{
		Generation: order.Generation,
		ToVersion:  order.ToVersion,
		WithinMs:   order.WithinMs,
		Settled:    order.Settled,
	}
	s.orders = s.orders.with(order.Service, versioned[*Move]{entry: move, version: version})
	return s
}

// WithoutMoveOrder returns a set in which the order was deleted at a store version.
func (s Set) WithoutMoveOrder(service bulrushchute.Service, version uint64) Set {
	s.orders = s.orders.with(service, versioned[*Move]{version: version, deleted: true})
	return s
}
