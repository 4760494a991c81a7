package bulrushadmission

import (
	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
)

// DefaultIdleCold is the time without work after which a backend server's
// caches and connections are taken to be cold.
const DefaultIdleCold = bulrushchute.Minute

// Settings configure a Controller. Fields that are zero take the catalogue's defaults.
type Settings struct {
	Limits bulrushcatalogue.Limits
	// ProbesPerS is the budget of all kinds of probes together.
	ProbesPerS float64
	// Tenants gives the weights of tenants. A tenant that is not named has weight 1.
	Tenants []bulrushcatalogue.TenantShare
	// IdleCold is the time without work after which the cold ramp starts again.
	IdleCold bulrushchute.Millis
}

// SettingsOf returns the settings that a service's catalogue entry asks for.
func SettingsOf(entry bulrushcatalogue.ServiceEntry) Settings {
	entry = entry.WithDefaults()
	return Settings{
		Limits:     entry.Limits,
		ProbesPerS: entry.Probe.BudgetPerS,
		Tenants:    entry.Tenants,
		IdleCold:   DefaultIdleCold,
	}
}

func (s Settings) withDefaults() Settings {
	defaults := SettingsOf(bulrushcatalogue.ServiceEntry{Limits: s.Limits})
	s.Limits = defaults.Limits
	if s.ProbesPerS <= 0 {
		s.ProbesPerS = defaults.ProbesPerS
	}
	if s.IdleCold <= 0 {
		s.IdleCold = DefaultIdleCold
	}
	return s
}
