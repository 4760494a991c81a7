package bulrushadmission

import (
	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
)

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
	if s.ColdAfterIdle <= 0 {
		s.ColdAfterIdle = DefaultColdAfterIdle
	}
	return s
}
