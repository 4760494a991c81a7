package bulrushrouting

import (
	"bulrushchute.example/bulrushchute"
)

// Default settings.
const (
	// DefaultSubset is the number of instances of one version that an entry node uses.
	DefaultSubset = 16
	// DefaultChoices is the number of random candidates that one choice compares.
	// Fewer leave slow instances in the draw more often; with up to 24 entry
	// nodes, no herding was measured even when all of 16 candidates are compared.
	DefaultChoices = 6
)

// Settings identify the entry node and bound its choice. Zero numbers take the defaults.
type Settings struct {
	// Self is the entry node. It seeds its subset.
	Self bulrushchute.InstanceID
	// DataCentre is the entry node's own.
	DataCentre bulrushchute.DataCentre
	// Subset bounds the instances in use for each version.
	Subset  int
	Choices int
	// HomeBias is how many times longer than others an instance of the own data
	// centre may be expected to take and still be chosen, less one.
	HomeBias float64
}

func (s Settings) withDefaults() Settings {
	if s.Subset <= 0 {
		s.Subset = DefaultSubset
	}
	if s.Choices <= 0 {
		s.Choices = DefaultChoices
	}
	return s
}

// Weight says how much work a data centre may receive. The zero value is the full weight.
type Weight struct {
	// Withdrawn data centres receive no work.
	Withdrawn bool
	// Unreachable data centres receive no work from this one.
	Unreachable bool
	// ReturnedAt is when the data centre came back, zero if it was never away.
	ReturnedAt bulrushchute.Millis
	// Ramp is the span from ReturnedAt to the full weight.
	Ramp bulrushchute.Millis
}

// returnShare is the weight of a data centre at the moment of its return.
const returnShare = 0.05

// At returns the weight between 0 and 1.
func (w Weight) At(now bulrushchute.Millis) float64 {
	if w.Withdrawn || w.Unreachable {
		return 0
	}
	if w.ReturnedAt == 0 || w.Ramp <= 0 || now >= w.ReturnedAt+w.Ramp {
		return 1
	}
	passed := float64(max(now-w.ReturnedAt, 0)) / float64(w.Ramp)
	return returnShare + (1-returnShare)*passed
}

// Weights gives each data centre its weight. A data centre that is missing has the full weight.
type Weights map[bulrushchute.DataCentre]Weight

// Candidates is a Picker whose members can be replaced. All types of this package implement it.
type Candidates interface {
	bulrushchute.Picker
	// Update replaces the members and the weights of their data centres. What
	// is known of instances that stay is kept. The weights must not be changed afterwards.
	Update(now bulrushchute.Millis, members []bulrushchute.Instance, weights Weights)
}
