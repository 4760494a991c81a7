package bulrushmembership

import (
	"bulrushchute.example/bulrushchute"
)

// NeighboursOf returns the overlay neighbours of a member inside its data
// centre, as this node computes them.
func (m *Membership) NeighboursOf(id bulrushchute.InstanceID) []bulrushchute.InstanceID {
	known, ok := m.members.byID[id]
	if !ok {
		return nil
	}
	var neighbours []bulrushchute.InstanceID
	for _, n := range ringNeighbours(known) {
		neighbours = append(neighbours, n.instance.ID)
	}
	return neighbours
}
