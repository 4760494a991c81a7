package bulrushusage

import (
	"bulrushchute.example/bulrushchute"
)

// presence describes what the holder has of a data centre.
type presence struct {
	sources  int
	expected int
	// final is set if the sum of the data centre is final.
	final bool
	// direct is the number of nodes that have sent final counts themselves.
	direct int
	// interim is set if a node has sent interim counts itself.
	interim bool
}

func (p presence) with(child contribution) presence {
	p.sources += child.sources
	switch {
	case child.key.Level == bulrushchute.UsageDataCentre:
		p.final, p.expected = child.final, child.expected
	case child.final:
		p.direct++
	default:
		p.interim = true
	}
	return p
}

// complete reports whether the final counts of all nodes of a data centre of the
// given size are there.
func (p presence) complete(size int) bool {
	return !p.interim && (p.final || p.direct >= size)
}

// Total returns the sum over all data centres. It is meaningful only at the holder.
func (c *Collector) Total(number Window) Total {
	present := make(map[bulrushchute.DataCentre]presence)
	for dataCentre := range c.tree.sizes {
		present[dataCentre] = presence{}
	}
	var sum counting
	if w, exists := c.windows[number]; exists {
		for key, child := range w.aggregate(place{level: levelHolder}).chosen(c.collectorOf) {
			sum.add(child.content)
			present[key.DataCentre] = present[key.DataCentre].with(child)
		}
	}
	total := Total{Counts: sum.counts(), Complete: true}
	for dataCentre, p := range present {
		size := c.tree.sizes[dataCentre]
		total.Sources += p.sources
		total.Expected += max(p.sources, p.expected, size)
		total.Complete = total.Complete && p.complete(size)
	}
	return total
}
