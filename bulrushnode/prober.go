package bulrushnode

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushadmission"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
	"bulrushchute.example/bulrushchute/bulrushresponse"
)

const (
	// probeInterval is how often the prober checks whether the probe budget allows
	// another probe.
	probeInterval = 100 * time.Millisecond
	probeTimeout  = time.Second
	// maxProbeBytes is the maximum number of bytes read from the answer to a probe.
	maxProbeBytes = 4 << 10
	// maxProbeHeaderBytes is the maximum size of its header.
	maxProbeHeaderBytes = 64 << 10
	// maxFailedProbes is the number of consecutive failed probes after which the
	// backend server is unhealthy. The node then announces it as starting.
	maxFailedProbes = 3
)

// loadReport is the body of an answer from the service's load path. Other fields
// are ignored. The load itself is read from the health path, see readLoad.
type loadReport struct {
	Cold     bool `json:"cold"`
	Draining bool `json:"draining"`
}

// prober sends probes to the backend server within the probe budget. Only the node
// beside a backend server probes it, so the cost does not grow with the fleet.
type prober struct {
	admission           *admission
	settings            func(bulrushchute.Service) bulrushcatalogue.Probe
	client              *http.Client
	consecutiveFailures int
	nextKind            bulrushadmission.ProbeKind
}

func newProber(admission *admission, settings func(bulrushchute.Service) bulrushcatalogue.Probe) *prober {
	// Probes use a separate connection, so that they do not wait behind requests.
	transport := &http.Transport{Proxy: nil, MaxConnsPerHost: 1, DisableCompression: true, MaxResponseHeaderBytes: maxProbeHeaderBytes}
	client := &http.Client{Transport: bulrushresponse.NewTransport(transport), Timeout: probeTimeout}
	return &prober{admission: admission, settings: settings, client: client}
}

func (p *prober) run(ctx context.Context) error {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	defer p.client.CloseIdleConnections()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			p.probe(ctx)
		}
	}
}

func (p *prober) probe(ctx context.Context) {
	backend := p.admission.latestAnnouncement()
	if backend.Service == "" || p.admission.loadReadRecently() || !p.admission.allowProbe(p.nextKind) {
		return
	}
	kind := p.nextKind
	settings := p.settings(backend.Service)
	path := settings.HealthPath
	if kind == bulrushadmission.ProbeLoad {
		path = settings.LoadPath
	}
	// Alternates between ProbeHealth, which is 0, and ProbeLoad.
	p.nextKind = bulrushadmission.ProbeLoad - p.nextKind
	report, ok := p.fetch(ctx, backend, path)
	if ctx.Err() != nil {
		return
	}
	p.recordResult(ok)
	if !ok && backend.State == BackendServing {
		p.admission.checkServerEnd(backend)
	}
	p.admission.observeProbe(bulrushadmission.ProbeReport{Kind: kind, Failed: !ok, Cold: report.Cold}, report.Draining)
}

// recordResult marks the backend server as unhealthy after maxFailedProbes
// consecutive failures, and as healthy after a success.
func (p *prober) recordResult(ok bool) {
	if ok {
		if p.consecutiveFailures >= maxFailedProbes {
			klog.InfoS("backend server answers probes again")
		}
		p.consecutiveFailures = 0
		p.admission.setHealthy(true)
		return
	}
	p.consecutiveFailures++
	if p.consecutiveFailures == maxFailedProbes {
		klog.InfoS("backend server does not answer probes", "failed", p.consecutiveFailures)
		p.admission.setHealthy(false)
	}
}

func (p *prober) fetch(ctx context.Context, backend Announcement, path string) (loadReport, bool) {
	var report loadReport
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(backend.Address)+path, nil)
	if err != nil {
		return report, false
	}
	response, err := p.client.Do(request)
	if err != nil {
		return report, false
	}
	defer func() { _ = response.Body.Close() }()
	p.admission.observeHealth(backend, response.StatusCode, response.Header)
	body, err := io.ReadAll(io.LimitReader(response.Body, maxProbeBytes))
	if err != nil || response.StatusCode >= http.StatusInternalServerError {
		return report, false
	}
	// An answer that is not a valid load report still shows that the server is
	// healthy.
	_ = json.Unmarshal(body, &report)
	return report, true
}
