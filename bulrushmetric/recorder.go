package bulrushmetric

import (
	"bulrushchute.example/bulrushchute"
)

// OtherTenant takes the measurements of tenants beyond the bound.
const OtherTenant bulrushchute.Tenant = "(other)"

// Measurement is one finished request.
type Measurement struct {
	Service   bulrushchute.Service
	Tenant    bulrushchute.Tenant
	Class     bulrushchute.Class
	Outcome   bulrushchute.Outcome
	Reason    bulrushchute.Reason
	ElapsedMs float64
}

// Recorder counts and times requests.
type Recorder struct {
}

// NewRecorder returns a recorder that tells apart at most maxTenants tenants of
// each service; further tenants are counted together as OtherTenant.
func NewRecorder(maxTenants int) *Recorder {
	return &Recorder{}
}

// Record takes note of a finished request.
func (r *Recorder) Record(m Measurement) {
}

// Publish makes the recorder an expvar variable. The name must not be in use.
func (r *Recorder) Publish(name string) {
}

// String returns the measurements as JSON and so implements expvar.Var.
func (r *Recorder) String() string {
	return "{}"
}
