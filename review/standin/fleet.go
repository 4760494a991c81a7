package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// node is one machine of the system: its addresses and the process.
type node struct {
	number                  int
	name, zone, service, ip string
	process                 *exec.Cmd
	exited                  chan struct{}
	startedAt               time.Time
}

func (n *node) outbound() string { return n.ip + ":8304" }
func (n *node) control() string  { return n.ip + ":8306" }
func (n *node) ready() string    { return n.ip + ":8302" }
func (n *node) app() string      { return n.ip + ":8301" }

// fleet is a small deployment: the platform's store, the nodes and the clients.
type fleet struct {
	record *record
	// figures are those of a small site.
	figures deployment
	store   *store
	root    string // of the repository
	folder  string // temporary
	prefix  string // of the loopback addresses
	nodes   []*node
	ctx     context.Context
	cancel  context.CancelFunc
	number  atomic.Int64
	names   string

	// startMutex is held while processes are started or ended. None is started once
	// closed is set.
	startMutex sync.Mutex
	closed     bool

	mutex   sync.Mutex
	results []result
}

// result is how a client attempt ended.
type result struct {
	attempt, kind, node string
	sentAt, endedAt     time.Time
	status              int
	signature           string
	whole               bool
}

// deployment holds the figures in which the two small sites differ.
type deployment struct {
	retryBudgetSlack, slots, queue, connections int
	coldPerS                                    float64
}

var (
	towpath = deployment{retryBudgetSlack: 60, slots: 9, queue: 18, connections: 240, coldPerS: 8.4}
	hanga   = deployment{retryBudgetSlack: 64, slots: 18, queue: 72, connections: 260, coldPerS: 12}
)

const bounds = `{"seedLagS":3,"reuseAfterS":2,"contactS":3000,"ackS":4000,"catchUpS":4,"drainS":2000,"graceS":6,` +
	`"lossSlackS":200,"configS":2000,"rollbackSlackS":250,"maxSkewS":5000,"retryBudgetRatio":0.2,"budgetWindowS":10,` +
	`"retryBudgetSlack":%d,"exposureShare":0.1,"exposureSlack":50,"rollbackS":5000,"coldOverage":1.5,"coldSlack":5,` +
	`"evacuateS":5000,"recoveryS":15,"probesPerS":60}`

func newFleet(record *record) (*fleet, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: record, store: newStore(), root: root, folder: folder}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	f.names = fmt.Sprintf("%08x", rand.Uint32())
	// A range of loopback addresses in which nothing listens on the ports used.
	for range 50 {
		f.prefix = fmt.Sprintf("127.%d.%d.", 20+rand.Intn(200), 1+rand.Intn(250))
		listener, err := net.Listen("tcp", f.prefix+"200:8309")
		if err != nil {
			continue
		}
		go func() { _ = http.Serve(listener, f.store) }()
		return f, nil
	}
	return nil, fmt.Errorf("no free port for the store")
}

func (f *fleet) storeAddress() string { return f.prefix + "200:8309" }

// addNode adds a machine. Its node is not started.
func (f *fleet) addNode(zone, service string) *node {
	number := len(f.nodes) + 1
	n := &node{number: number, name: fmt.Sprintf("sidecar-%s-%d", zone, number), zone: zone, service: service, ip: fmt.Sprintf("%s%d", f.prefix, number)}
	f.nodes = append(f.nodes, n)
	return n
}

// startNode starts the node's process with the command of the deploy file.
func (f *fleet) startNode(n *node, first bool) error {
	f.startMutex.Lock()
	defer f.startMutex.Unlock()
	if f.closed {
		return fmt.Errorf("the case has ended")
	}
	settings := fmt.Sprintf(`{"instance":%q,"data_centre":%q,"region":"r1","service":%q,"caller_address":%q,"ready_address":%q,`+
		`"announce_address":%q,"peer_address":%q,"operator_address":%q,"backend_address":%q,"store_address":%q,"first_start":%t,`+
		`"bounds":%s,"usage":{"address":"","duties":[]}}`, n.name, n.zone, n.service, n.outbound(), n.ready(), n.control(),
		n.ip+":7620", n.ip+":9621", n.app(), f.storeAddress(), first, fmt.Sprintf(bounds, f.figures.retryBudgetSlack))
	path := filepath.Join(f.folder, n.name+".json")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	command := exec.Command("target/bulrushd", "platform")
	command.Dir = f.root
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BULRUSHCHUTE_BOOT=" + path}
	output, err := os.OpenFile(filepath.Join(f.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.process, n.exited, n.startedAt = command, exited, time.Now()
	go func() {
		_ = command.Wait()
		close(exited)
		_ = output.Close()
	}()
	f.record.line("node %s of %s starts at %s", n.name, n.service, n.ip)
	return nil
}

// signalNode sends a signal to the node's process.
func (f *fleet) signalNode(n *node, signal syscall.Signal) {
	f.record.line("node %s gets %s", n.name, signal)
	_ = n.process.Process.Signal(signal)
}

// killNode ends the node's process and waits for its end.
func (f *fleet) killNode(n *node) {
	f.signalNode(n, syscall.SIGKILL)
	<-n.exited
}

// awaitReady waits until the platform's readiness check of all nodes succeeds.
func (f *fleet) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, n := range f.nodes {
		for !isReady(n) {
			if time.Now().After(end) {
				return fmt.Errorf("node %s is not ready", n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	f.record.line("all nodes are ready")
	return nil
}

func isReady(n *node) bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + n.ready() + "/bulrushchute/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// close ends all processes that the fleet started. The nodes' logs are kept in the folder
// that KEEP_LOGS names, if it is set.
func (f *fleet) close() {
	f.cancel()
	f.startMutex.Lock()
	defer f.startMutex.Unlock()
	f.closed = true
	for _, n := range f.nodes {
		if n.process != nil {
			_ = n.process.Process.Signal(syscall.SIGCONT)
			_ = n.process.Process.Kill()
			<-n.exited
		}
	}
	if kept := os.Getenv("KEEP_LOGS"); kept != "" {
		_ = os.Rename(f.folder, kept)
		return
	}
	_ = os.RemoveAll(f.folder)
}

// route is one route of the configuration.
type route struct {
	name, host, prefix, kind, service string
	timeoutMs, objectiveMs, attempts  int
}

// configure writes a version of the configuration.
func (f *fleet) configure(version int, services []string, routes ...route) {
	var routeList, serviceList []map[string]any
	for _, r := range routes {
		routeList = append(routeList, map[string]any{
			"name": r.name, "host": r.host, "prefix": r.prefix, "kind": r.kind, "service": r.service,
			"timeout_ms": r.timeoutMs, "objective_ms": r.objectiveMs, "rank": 2, "attempts": r.attempts,
		})
	}
	for _, service := range services {
		serviceList = append(serviceList, map[string]any{
			"name": service, "health_path": "/health", "connections": f.figures.connections, "protocol": "h1", "tls": false,
			"cold_start_s": 3.0, "cold_per_s": f.figures.coldPerS,
		})
	}
	f.store.put("config", "main", map[string]any{
		"version": version, "routes": routeList, "services": serviceList,
		"limits": map[string]any{"header_bytes": 16384, "body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	f.record.line("configuration %d is acknowledged", version)
}

// client is a client of a node that keeps its connections open.
type client struct {
	fleet  *fleet
	node   *node
	kind   string
	method string
	host   string
	path   string
	limit  time.Duration
	http   *http.Client
}

func (f *fleet) newClient(n *node, kind, method, host, path string, limit time.Duration) *client {
	return &client{
		fleet: f, node: n, kind: kind, method: method, host: host, path: path, limit: limit,
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}},
	}
}

// send sends one attempt and records how it ended.
func (c *client) send() result {
	f := c.fleet
	attempt := fmt.Sprintf("%s%06d", f.names, f.number.Add(1))
	ctx, cancel := context.WithTimeout(f.ctx, c.limit)
	defer cancel()
	var body io.Reader
	if c.method != http.MethodGet {
		body = strings.NewReader("body of " + attempt)
	}
	request, err := http.NewRequestWithContext(ctx, c.method, "http://"+c.node.outbound()+c.path, body)
	if err != nil {
		panic(err)
	}
	request.GetBody = nil
	request.Host = c.host
	request.Header.Set("X-Attempt-Id", attempt)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(c.limit.Milliseconds()))
	done := result{attempt: attempt, kind: c.kind, node: c.node.name, sentAt: time.Now()}
	response, err := c.http.Do(request)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		done.status, done.signature, done.whole = response.StatusCode, response.Header.Get("X-Response-Signature"), err == nil
	}
	done.endedAt = time.Now()
	server := strings.Split(done.signature+"..", ".")[1]
	f.record.line("%d %s %s %d %d %s", c.node.number, shortAttempt(attempt), c.kind, done.status,
		done.endedAt.Sub(done.sentAt).Milliseconds(), strings.Replace(server, "i-"+f.names, "i-", 1))
	f.mutex.Lock()
	f.results = append(f.results, done)
	f.mutex.Unlock()
	return done
}

// run sends attempts at a steady rate until the context ends.
func (c *client) run(ctx context.Context, perS float64) {
	var wait sync.WaitGroup
	defer wait.Wait()
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perS))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			wait.Add(1)
			go func() {
				defer wait.Done()
				c.send()
			}()
		}
	}
}

// counts returns the number of results by status.
func (f *fleet) counts(keep func(result) bool) map[int]int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	counts := make(map[int]int)
	for _, done := range f.results {
		if keep(done) {
			counts[done.status]++
		}
	}
	return counts
}

func pretty(value any) string {
	data, _ := json.Marshal(value)
	return string(data)
}
