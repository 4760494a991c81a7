package bulrushadmission

import (
	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
)

// DefaultColdRateFactor is the multiple of the rate that a cold server states of
// which it is sent at most. Servers tolerate somewhat more than they state, and
// crash well above it.
const DefaultColdRateFactor = 1.25

// DefaultColdAfterIdle is the idle time after which the backend server's caches
// and connections are assumed to be cold.
const DefaultColdAfterIdle = bulrushchute.Minute

// Settings configure a Controller. Limits and rates of 0 take the catalogue's
// defaults, and a ColdAfterIdle of 0 takes DefaultColdAfterIdle.
type Settings struct {
	Limits bulrushcatalogue.Limits
	// ProbesPerS is the rate limit shared by all kinds of probes.
	ProbesPerS float64
	// Tenants lists the tenants' weights. A tenant that is not listed has
	// weight 1.
	Tenants []bulrushcatalogue.TenantShare
	// ColdRateFactor is the multiple of Limits.ColdPerS that a cold server receives
	// in any second at most, 0 for DefaultColdRateFactor.
	ColdRateFactor float64
	// ColdAfterIdle is the idle time after which the cold ramp starts again.
	ColdAfterIdle bulrushchute.Millis
}

// SettingsOf returns the settings that a service's catalogue entry specifies.
func SettingsOf(entry bulrushcatalogue.ServiceEntry) Settings {
	entry = entry.WithDefaults()
	return Settings{
		Limits:        entry.Limits,
		ProbesPerS:    entry.Probe.BudgetPerS,
		Tenants:       entry.Tenants,
		ColdAfterIdle: DefaultColdAfterIdle,
	}
}

func (s Settings) withDefaults() Settings {
	defaults := SettingsOf(bulrushcatalogue.ServiceEntry{Limits: s.Limits})
	s.Limits = defaults.Limits
	if s.ProbesPerS <= 0 {
		s.ProbesPerS = defaults.ProbesPerS
	}
	if s.ColdRateFactor <= 0 {
		s.ColdRateFactor = DefaultColdRateFactor
	}
	if s.ColdAfterIdle <= 0 {
		s.ColdAfterIdle = DefaultColdAfterIdle
	}
	return s
}
