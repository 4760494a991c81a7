package bulrushrouting

import (
	"bulrushchute.example/bulrushchute"
)

// Default settings.
const (
	// DefaultSubset is the number of instances of one version that an entry
	// node uses.
	DefaultSubset = 16
	// DefaultChoices is the number of random candidates that one pick compares.
	// The fewer it compares, the more often all of them are slow. More do not
	// cause herding: with up to 24 entry nodes there is none even when all 16
	// candidates are compared.
	DefaultChoices = 6
)

// Settings configure a Router. Where Subset or Choices is zero, the default
// applies.
type Settings struct {
	// Self is the entry node. The hash that chooses its subset depends on it.
	Self bulrushchute.InstanceID
	// DataCentre is the data centre of the entry node.
	DataCentre bulrushchute.DataCentre
	// Subset is the maximum number of instances in use for each version.
	Subset int
	// Choices is the number of candidates that one pick compares.
	Choices int
	// HomeBias is the relative increase of the scores of instances in other data
	// centres: with 0.5, a local instance is preferred until it is expected to
	// take 1.5 times as long as a remote one. It is unrelated to the homes of keys.
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

// Weight determines how much work a data centre receives. The zero value is
// the full weight.
type Weight struct {
	// Withdrawn data centres receive no work.
	Withdrawn bool
	// Unreachable data centres receive no work from this data centre.
	Unreachable bool
	// ReturnedAt is when the data centre returned to service, zero if it was
	// never out of service.
	ReturnedAt bulrushchute.Millis
	// Ramp is the time from ReturnedAt until the full weight applies.
	Ramp bulrushchute.Millis
}

// initialReturnWeight is the weight of a data centre when it returns to
// service.
const initialReturnWeight = 0.05

// At returns the weight at the given time, between 0 and 1.
func (w Weight) At(now bulrushchute.Millis) float64 {
	if w.Withdrawn || w.Unreachable {
		return 0
	}
	if w.ReturnedAt == 0 || w.Ramp <= 0 || now >= w.ReturnedAt+w.Ramp {
		return 1
	}
	elapsed := float64(max(now-w.ReturnedAt, 0)) / float64(w.Ramp)
	return initialReturnWeight + float64((1-initialReturnWeight)*elapsed)
}

// Weights maps data centres to their weights. A data centre that is not in the
// map has the full weight.
type Weights map[bulrushchute.DataCentre]Weight

// Balancer is a Picker whose members can be replaced. Router and Baseline
// implement it.
type Balancer interface {
	bulrushchute.Picker
	// Update replaces the members and the weights of their data centres. The
	// state of instances that remain members is kept. The caller must not modify
	// weights afterwards.
	Update(now bulrushchute.Millis, members []bulrushchute.Instance, weights Weights)
}
