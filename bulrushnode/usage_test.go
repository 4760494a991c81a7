package bulrushnode

import (
	"context"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushboard"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
	"bulrushchute.example/bulrushchute/bulrushstore"
	"bulrushchute.example/bulrushchute/bulrushusage"
)

// usagePlatform takes usage reports, and counts the runs of its backend servers.
type usagePlatform struct {
	mutex   sync.Mutex
	reports map[bulrushchute.UsageWindow]bulrushchute.UsageCounts
	tokens  []uint64
	holders []string
	// changed is set when a window was reported twice with different counts.
	changed bool
	runs    bulrushchute.UsageCounts
	// loseAnswers is the number of reports to accept without an answer.
	loseAnswers int
}

func (p *usagePlatform) ReportUsage(_ context.Context, holder string, token uint64, report bulrushchute.UsageReport) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.tokens = append(p.tokens, token)
	p.holders = append(p.holders, holder)
	if known, reported := p.reports[report.Window]; reported {
		p.changed = p.changed || !maps.Equal(known, report.Counts)
	}
	p.reports[report.Window] = maps.Clone(report.Counts)
	if p.loseAnswers > 0 {
		p.loseAnswers--
		return &bulrushchute.AmbiguousError{Operation: "usage report", Cause: errors.New("answer lost")}
	}
	return nil
}

func (p *usagePlatform) serve(_ http.ResponseWriter, request *http.Request) {
	tenant := bulrushchute.Tenant(request.Header.Get(headerTenant))
	if tenant == "" {
		// A health check or a reading of the load.
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.runs[tenant]++
}

// totals returns the reported and the true number of runs by tenant.
func (p *usagePlatform) totals() (reported, runs bulrushchute.UsageCounts) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	reported = make(bulrushchute.UsageCounts)
	for _, counts := range p.reports {
		for tenant, count := range counts {
			reported[tenant] += count
		}
	}
	return reported, maps.Clone(p.runs)
}

func (p *usagePlatform) lastHolder() string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.holders) == 0 {
		return ""
	}
	return p.holders[len(p.holders)-1]
}

// runUsageNodes starts nodes with a backend server each, under a table with the
// keys k-1 of the tenant crew.
func runUsageNodes(t *testing.T, platform *usagePlatform, count int) map[string]runningNode {
	store := bulrushstore.NewMemory()
	value, err := keyedTable("k-1").Encode()
	assert.NilError(t, err)
	_, err = store.Create(t.Context(), bulrushchute.Object{Kind: bulrushchute.KindRouting, Name: bulrushcatalogue.RoutingTableName, Value: value})
	assert.NilError(t, err)
	nodes := make(map[string]runningNode, count)
	for i := range count {
		backend := httptest.NewServer(http.HandlerFunc(platform.serve))
		t.Cleanup(backend.Close)
		address := bulrushchute.Address(strings.TrimPrefix(backend.URL, "http://"))
		settings := nodeSettings(t)
		settings.BackendAddress = address
		name := "node-" + string(rune('a'+i))
		nodes[name] = runNodeWithOptions(settings, store, Options{
			Kinds: []bulrushchute.Kind{bulrushchute.KindRouting},
			Usage: &UsageOptions{
				Sink: platform, Holder: name, Clock: bulrushchute.NewBootClock(),
				Settings: bulrushusage.Settings{WindowMs: bulrushchute.Second, LateMs: 6 * bulrushchute.Second, LeaseMs: 500},
			},
		})
		t.Cleanup(nodes[name].stop)
		for nodes[name].State() != bulrushboard.NodeReady {
			time.Sleep(10 * time.Millisecond)
		}
		assert.NilError(t, nodes[name].Announce(Announcement{Service: "board", Version: "v1", Address: address, Slots: 9, State: BackendServing}))
	}
	return nodes
}

// sendRequests sends requests to a node until the given number was served.
func sendRequests(t *testing.T, node runningNode, key string, served int) {
	for served > 0 {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+string(node.settings.CallerAddress)+"/view/1", nil)
		assert.NilError(t, err)
		request.Host = "a.example"
		request.Header.Set(headerAPIKey, key)
		response, err := http.DefaultClient.Do(request)
		assert.NilError(t, err)
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			served--
		} else {
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// waitForTotals waits until all runs are reported. Only the timeout of go test
// limits the wait.
func (p *usagePlatform) waitForTotals() {
	for {
		reported, runs := p.totals()
		if len(reported) > 0 && maps.Equal(reported, runs) {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// Guards against usage that is lost, counted twice or reported with two counts,
// also when an answer of the platform is lost and when the holder is stopped.
func TestUsageOfSeveralNodes(t *testing.T) {
	platform := &usagePlatform{
		reports: make(map[bulrushchute.UsageWindow]bulrushchute.UsageCounts), runs: make(bulrushchute.UsageCounts), loseAnswers: 2,
	}
	nodes := runUsageNodes(t, platform, 3)
	for _, node := range nodes {
		sendRequests(t, node, "k-1", 40)
	}
	platform.waitForTotals()
	first := platform.lastHolder()
	nodes[first].stop()
	for name, node := range nodes {
		if name != first {
			sendRequests(t, node, "k-1", 40)
		}
	}
	platform.waitForTotals()
	assert.Assert(t, platform.lastHolder() != first)
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	assert.Assert(t, !platform.changed, "a window with two counts")
	for i, token := range platform.tokens[1:] {
		assert.Assert(t, token >= platform.tokens[i], "tokens %v", platform.tokens)
		assert.Equal(t, token == platform.tokens[i], platform.holders[i+1] == platform.holders[i])
	}
}

// collectingNode returns the node that adds up the counts of the others.
func collectingNode(nodes map[string]runningNode) runningNode {
	for {
		for _, node := range nodes {
			if node.usageStatus().Collects {
				return node
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against counts that a planned stop loses, because a caller that stays connected
// takes all of the time that is left for handing them over.
func TestUsageIsLostBesideASlowCaller(t *testing.T) {
	platform := &usagePlatform{reports: make(map[bulrushchute.UsageWindow]bulrushchute.UsageCounts), runs: make(bulrushchute.UsageCounts)}
	nodes := runUsageNodes(t, platform, 3)
	for _, node := range nodes {
		sendRequests(t, node, "k-1", 10)
	}
	platform.waitForTotals()
	leaving := collectingNode(nodes)
	caller, err := net.Dial("tcp", string(leaving.settings.CallerAddress))
	assert.NilError(t, err)
	defer func() { _ = caller.Close() }()
	_, err = caller.Write([]byte("GET /view/1 HTTP/1.1\r\n"))
	assert.NilError(t, err)
	for _, node := range nodes {
		sendRequests(t, node, "k-1", 40)
	}
	leaving.stop()
	assert.ErrorContains(t, <-leaving.done, "callers still connected")
	// A window of a second is reported after six more at the latest.
	deadline := time.Now().Add(15 * time.Second)
	reported, runs := platform.totals()
	for !maps.Equal(reported, runs) && time.Now().Before(deadline) {
		time.Sleep(50 * time.Millisecond)
		reported, runs = platform.totals()
	}
	assert.DeepEqual(t, reported, runs)
}
