// Package bulrushload sends open-loop load to nodes and compares the results
// that callers saw with the records of the backend servers.
package bulrushload

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"bulrushchute.example/bulrushchute/bulrushtask"
	"bulrushchute.example/bulrushchute/cmd/bulrushbench/bulrushstandin"
)

// responseGrace is the time after a request's timeout within which its caller
// must have a response. A request without one by then counts as lost.
const responseGrace = 2 * time.Second

// Profile describes one stream of requests.
type Profile struct {
	Name      string  `json:"name"`
	Service   string  `json:"service"`
	Class     string  `json:"class"`
	Tenant    string  `json:"tenant"`
	Method    string  `json:"method"`
	Path      string  `json:"path"`
	PerSecond float64 `json:"per_second"`
	TimeoutMs int64   `json:"timeout_ms"`
	// Keyed sends an Idempotency-Key with each request. A request that was
	// neither answered nor reported as not run is retried once, with the same
	// key through another node.
	Keyed bool `json:"keyed"`
	// Idempotent requests may run more than once without breaking a promise.
	Idempotent bool `json:"idempotent"`
}

// RequestResult is the result of one request as its caller saw it.
type RequestResult struct {
	// ProfileIndex is the index of the request's profile in the generator's
	// profiles.
	ProfileIndex int
	ID           string
	Outcome      string
	Reason       string
	Status       int
	// Crossed means that the answer was that of another request.
	Crossed bool
	// Latency is the time from DueAt to the result.
	Latency time.Duration
	Version string
	// DueAt is when the request was due to be sent.
	DueAt time.Time
	// Node is the address that the request was sent to.
	Node string
	// ErrorText is the error that the caller got, if any.
	ErrorText string
}

// String describes the request in one line.
func (r RequestResult) String() string {
	return fmt.Sprintf("id=%s outcome=%s reason=%s status=%d node=%s due=%s latency_ms=%d problem=%q",
		r.ID, r.Outcome, r.Reason, r.Status, r.Node, r.DueAt.Format("15:04:05.000"), r.Latency.Milliseconds(), r.ErrorText)
}

// Outcomes of requests. The first three come from the nodes, the others from
// the load generator.
const (
	OutcomeAnswered = "answered"
	OutcomeNotRun   = "not_run"
	OutcomeUnknown  = "unknown"
	// OutcomeNoConnection means that no node accepted a connection.
	OutcomeNoConnection = "refused"
	// OutcomeCut means that the connection to a node ended before the caller
	// had the whole response.
	OutcomeCut = "cut"
	// OutcomeHung means that no response came within the timeout and
	// responseGrace.
	OutcomeHung = "hung"
)

// Targets holds the addresses of the nodes that callers use.
type Targets struct {
	mutex     sync.Mutex
	addresses []string
}

// Set replaces the addresses.
func (t *Targets) Set(addresses []string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.addresses = append([]string(nil), addresses...)
}

// startingAt returns all addresses in rotation, from the given index on.
func (t *Targets) startingAt(start int) []string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	count := len(t.addresses)
	addresses := make([]string, 0, count)
	for i := range count {
		addresses = append(addresses, t.addresses[(start+i)%count])
	}
	return addresses
}

// Generator sends the requests of a set of profiles.
type Generator struct {
	targets  *Targets
	profiles []Profile
	client   *http.Client
	mutex    sync.Mutex
	results  []RequestResult
	sequence int
}

// New returns a generator. All profiles share its connections.
func New(targets *Targets, profiles []Profile) *Generator {
	transport := &http.Transport{
		Proxy:               nil,
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost: 256,
	}
	return &Generator{targets: targets, profiles: profiles, client: &http.Client{Transport: transport}}
}

// Run sends requests until the context ends, waits for those in flight and
// returns the results.
func (g *Generator) Run(ctx context.Context, seed uint64) []RequestResult {
	group := bulrushtask.NewGroup(nil)
	for i := range g.profiles {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		group.Start(ctx, g.profiles[i].Name, func(ctx context.Context) error {
			return g.sendProfile(ctx, i, random)
		})
	}
	group.Wait()
	g.client.CloseIdleConnections()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.results
}

// sendProfile sends the requests of one profile at exponentially distributed
// intervals that do not depend on the responses.
func (g *Generator) sendProfile(ctx context.Context, index int, random *rand.Rand) error {
	requests := bulrushtask.NewGroup(nil)
	defer requests.Wait()
	due := time.Now()
	for {
		due = due.Add(time.Duration(random.ExpFloat64() / g.profiles[index].PerSecond * float64(time.Second)))
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(time.Until(due)):
		}
		requestDue, firstTarget := due, random.IntN(1<<20)
		requests.Start(context.WithoutCancel(ctx), "request", func(ctx context.Context) error {
			g.record(g.send(ctx, index, requestDue, firstTarget))
			return nil
		})
	}
}

func (g *Generator) record(result RequestResult) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.results = append(g.results, result)
}

func (g *Generator) nextID(index int) string {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.sequence++
	return fmt.Sprintf("%s-%d", g.profiles[index].Name, g.sequence)
}

// send sends a request and, if it is keyed and was neither answered nor
// reported as not run, retries it once.
func (g *Generator) send(ctx context.Context, index int, due time.Time, firstTarget int) RequestResult {
	profile := g.profiles[index]
	id := g.nextID(index)
	key := ""
	if profile.Keyed {
		key = uuid.Must(uuid.NewV7()).String()
	}
	result := g.sendOnce(ctx, index, id, key, firstTarget)
	if profile.Keyed && result.Outcome != OutcomeAnswered && result.Outcome != OutcomeNotRun {
		result = finalResult(result, g.sendOnce(ctx, index, id, key, firstTarget+1))
	}
	result.DueAt = due
	result.Latency = time.Since(due)
	return result
}

// finalResult combines the results of a request and of its retry with the same
// key. A retry that was not run says nothing about the first request.
func finalResult(first, retry RequestResult) RequestResult {
	if retry.Outcome == OutcomeAnswered {
		return retry
	}
	return first
}

// sendOnce sends a request to the first node that accepts a connection.
func (g *Generator) sendOnce(ctx context.Context, index int, id, key string, firstTarget int) RequestResult {
	profile := g.profiles[index]
	timeout := time.Duration(profile.TimeoutMs)*time.Millisecond + responseGrace
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	result := RequestResult{ProfileIndex: index, ID: id, Outcome: OutcomeNoConnection}
	for _, address := range g.targets.startingAt(firstTarget) {
		result.Node = address
		response, err := g.client.Do(newRequest(ctx, address, profile, id, key))
		if err == nil {
			defer func() { _ = response.Body.Close() }()
			return readResponse(result, response)
		}
		if !isDialError(err) {
			return failedResult(ctx, result, err)
		}
	}
	return result
}

func failedResult(ctx context.Context, result RequestResult, err error) RequestResult {
	result.Outcome = OutcomeCut
	result.ErrorText = err.Error()
	if ctx.Err() != nil {
		result.Outcome = OutcomeHung
	}
	return result
}

func newRequest(ctx context.Context, address string, profile Profile, id, key string) *http.Request {
	// A body that cannot be rewound keeps net/http from retrying a keyed
	// request on its own, which would hide a second run from the check.
	var body io.Reader
	if profile.Method == http.MethodPost {
		body = io.MultiReader(strings.NewReader("body of " + id))
	}
	request, err := http.NewRequestWithContext(ctx, profile.Method, "http://"+address+profile.Path, body)
	if err != nil {
		panic(err)
	}
	request.Header.Set("Bulrush-Service", profile.Service)
	request.Header.Set("Bulrush-Tenant", profile.Tenant)
	request.Header.Set("Bulrush-Timeout-Ms", strconv.FormatInt(profile.TimeoutMs, 10))
	request.Header.Set(bulrushstandin.HeaderRequestID, id)
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	return request
}

func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

func readResponse(result RequestResult, response *http.Response) RequestResult {
	body, err := io.ReadAll(response.Body)
	if err != nil {
		result.Outcome = OutcomeCut
		result.ErrorText = err.Error()
		return result
	}
	result.Status = response.StatusCode
	result.Version = response.Header.Get("X-Version")
	result.Reason = response.Header.Get("Bulrush-Reason")
	result.Outcome = response.Header.Get("Bulrush-Outcome")
	result.Crossed = result.Outcome == OutcomeAnswered && result.Version != "" && string(body) != result.ID
	return result
}
