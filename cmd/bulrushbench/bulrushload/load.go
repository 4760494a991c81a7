// Package bulrushload sends open-loop load to nodes and keeps what the callers
// were told, to be compared with the records of the backend servers.
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

// answerGrace is the time after its timeout in which a caller must have its
// final answer. A request without one by then counts as lost.
const answerGrace = 2 * time.Second

// Profile is one stream of requests.
type Profile struct {
	Name      string  `json:"name"`
	Service   string  `json:"service"`
	Class     string  `json:"class"`
	Tenant    string  `json:"tenant"`
	Method    string  `json:"method"`
	Path      string  `json:"path"`
	PerSecond float64 `json:"per_second"`
	TimeoutMs int64   `json:"timeout_ms"`
	// Keyed sends an Idempotency-Key with each request and repeats a request
	// with an unknown outcome once with the same key through another node.
	Keyed bool `json:"keyed"`
	// Idempotent tells the check whether a second run is a fault.
	Idempotent bool `json:"idempotent"`
}

// Told is what a caller was told about one request.
type Told struct {
	Profile int
	ID      string
	Outcome string
	Reason  string
	Status  int
	Crossed bool
	// Latency counts from the instant at which the request was due.
	Latency time.Duration
	Version string
	DueAt   time.Time
	// Node is the address that the request was sent to.
	Node string
	// Problem is the error that the caller met, if any.
	Problem string
}

// String describes the request in one line.
func (t Told) String() string {
	return fmt.Sprintf("id=%s outcome=%s reason=%s status=%d node=%s due=%s latency_ms=%d problem=%q",
		t.ID, t.Outcome, t.Reason, t.Status, t.Node, t.DueAt.Format("15:04:05.000"), t.Latency.Milliseconds(), t.Problem)
}

// Outcomes that the load tool adds to those of the nodes.
const (
	OutcomeAnswered = "answered"
	OutcomeNotRun   = "not_run"
	OutcomeUnknown  = "unknown"
	// OutcomeRefused means that no node accepted a connection.
	OutcomeRefused = "refused"
	// OutcomeCut means that a node's connection ended without an answer.
	OutcomeCut = "cut"
	// OutcomeHung means that no final answer came in time.
	OutcomeHung = "hung"
)

// Targets is the set of nodes that callers use.
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

func (t *Targets) pick(random int) []string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	count := len(t.addresses)
	picked := make([]string, 0, count)
	for i := range count {
		picked = append(picked, t.addresses[(random+i)%count])
	}
	return picked
}

// Generator sends the load of some profiles.
type Generator struct {
	targets  *Targets
	profiles []Profile
	client   *http.Client
	mutex    sync.Mutex
	told     []Told
	sequence int
}

// New returns a generator. Its connections are shared by all profiles.
func New(targets *Targets, profiles []Profile) *Generator {
	transport := &http.Transport{
		Proxy:               nil,
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost: 256,
	}
	return &Generator{targets: targets, profiles: profiles, client: &http.Client{Transport: transport}}
}

// Run sends requests until the context ends and returns what callers were
// told. Requests under way then are still waited for.
func (g *Generator) Run(ctx context.Context, seed uint64) []Told {
	group := bulrushtask.NewGroup(nil)
	for i := range g.profiles {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		group.Start(ctx, g.profiles[i].Name, func(ctx context.Context) error {
			return g.stream(ctx, i, random)
		})
	}
	group.Wait()
	g.client.CloseIdleConnections()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.told
}

// stream sends one profile's requests at random instants that do not depend
// on the answers.
func (g *Generator) stream(ctx context.Context, profile int, random *rand.Rand) error {
	requests := bulrushtask.NewGroup(nil)
	defer requests.Wait()
	due := time.Now()
	for {
		due = due.Add(time.Duration(random.ExpFloat64() / g.profiles[profile].PerSecond * float64(time.Second)))
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(time.Until(due)):
		}
		start, choice := due, random.IntN(1<<20)
		requests.Start(context.WithoutCancel(ctx), "request", func(ctx context.Context) error {
			g.record(g.request(ctx, profile, start, choice))
			return nil
		})
	}
}

func (g *Generator) record(told Told) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.told = append(g.told, told)
}

func (g *Generator) nextID(profile int) string {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.sequence++
	return fmt.Sprintf("%s-%d", g.profiles[profile].Name, g.sequence)
}

func (g *Generator) request(ctx context.Context, index int, due time.Time, choice int) Told {
	profile := g.profiles[index]
	id := g.nextID(index)
	key := ""
	if profile.Keyed {
		key = uuid.Must(uuid.NewV7()).String()
	}
	told := g.try(ctx, index, id, key, choice)
	if profile.Keyed && told.Outcome != OutcomeAnswered && told.Outcome != OutcomeNotRun {
		told = settled(told, g.try(ctx, index, id, key, choice+1))
	}
	told.DueAt = due
	told.Latency = time.Since(due)
	return told
}

// settled joins what was told about a request and about its repeat with the
// same key. A repeat that was not run says nothing about the first request.
func settled(first, repeat Told) Told {
	if repeat.Outcome == OutcomeAnswered {
		return repeat
	}
	return first
}

// try sends a request to the first node that accepts a connection.
func (g *Generator) try(ctx context.Context, index int, id, key string, choice int) Told {
	profile := g.profiles[index]
	timeout := time.Duration(profile.TimeoutMs)*time.Millisecond + answerGrace
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	told := Told{Profile: index, ID: id, Outcome: OutcomeRefused}
	for _, address := range g.targets.pick(choice) {
		told.Node = address
		response, err := g.client.Do(newRequest(ctx, address, profile, id, key))
		if err == nil {
			defer func() { _ = response.Body.Close() }()
			return read(told, response)
		}
		if !isDialError(err) {
			return failed(ctx, told, err)
		}
	}
	return told
}

func failed(ctx context.Context, told Told, err error) Told {
	told.Outcome = OutcomeCut
	told.Problem = err.Error()
	if ctx.Err() != nil {
		told.Outcome = OutcomeHung
	}
	return told
}

func newRequest(ctx context.Context, address string, profile Profile, id, key string) *http.Request {
	// A body that cannot be rewound keeps net/http from repeating a keyed
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

func read(told Told, response *http.Response) Told {
	body, err := io.ReadAll(response.Body)
	if err != nil {
		told.Outcome = OutcomeCut
		told.Problem = err.Error()
		return told
	}
	told.Status = response.StatusCode
	told.Version = response.Header.Get("X-Version")
	told.Reason = response.Header.Get("Bulrush-Reason")
	told.Outcome = response.Header.Get("Bulrush-Outcome")
	told.Crossed = told.Outcome == OutcomeAnswered && told.Version != "" && string(body) != told.ID
	return told
}
