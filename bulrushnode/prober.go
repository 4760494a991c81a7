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
)

const (
	// probeEvery is how often the prober asks for a token; the budget decides
	// how often a probe is sent.
	probeEvery   = 100 * time.Millisecond
	probeTimeout = time.Second
	// maxProbeBytes bounds the body of a probe's answer.
	maxProbeBytes = 4 << 10
	// failedProbes is the number of failed health probes in a row after which
	// the backend server is no longer announced.
	failedProbes = 3
)

// backendReport is the body of the load endpoint. Other fields are ignored.
type backendReport struct {
	Cold     bool `json:"cold"`
	Draining bool `json:"draining"`
}

// prober measures the backend server within its budget. It is the only one
// that does, so the cost does not grow with the fleet.
type prober struct {
	admission *admission
	board     func(bulrushchute.Service) bulrushcatalogue.Probe
	client    *http.Client
	failed    int
	next      bulrushadmission.ProbeKind
}

func newProber(admission *admission, settings func(bulrushchute.Service) bulrushcatalogue.Probe) *prober {
	// A connection of its own: probes must not wait behind work.
	transport := &http.Transport{Proxy: nil, MaxConnsPerHost: 1, DisableCompression: true}
	return &prober{admission: admission, board: settings, client: &http.Client{Transport: transport, Timeout: probeTimeout}}
}

func (p *prober) run(ctx context.Context) error {
	ticker := time.NewTicker(probeEvery)
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
	if backend.Service == "" || p.admission.loadReadRecently() || !p.admission.allowProbe(p.next) {
		return
	}
	kind := p.next
	settings := p.board(backend.Service)
	path := settings.HealthPath
	if kind == bulrushadmission.ProbeLoad {
		path = settings.LoadPath
	}
	p.next = bulrushadmission.ProbeLoad - p.next
	report, ok := p.fetch(ctx, "http://"+string(backend.Address)+path)
	if ctx.Err() != nil {
		return
	}
	p.count(ok)
	p.admission.observeProbe(bulrushadmission.ProbeReport{Kind: kind, Failed: !ok, Cold: report.Cold}, report.Draining)
}

// count withdraws the announcement of a backend server that does not answer.
func (p *prober) count(ok bool) {
	if ok {
		if p.failed >= failedProbes {
			klog.InfoS("backend server answers probes again")
		}
		p.failed = 0
		p.admission.setHealthy(true)
		return
	}
	p.failed++
	if p.failed == failedProbes {
		klog.InfoS("backend server does not answer probes", "failed", p.failed)
		p.admission.setHealthy(false)
	}
}

func (p *prober) fetch(ctx context.Context, url string) (backendReport, bool) {
	var report backendReport
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return report, false
	}
	response, err := p.client.Do(request)
	if err != nil {
		return report, false
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxProbeBytes))
	if err != nil || response.StatusCode >= http.StatusInternalServerError {
		return report, false
	}
	// A load report that is not JSON says nothing; the health is still good.
	_ = json.Unmarshal(body, &report)
	return report, true
}
