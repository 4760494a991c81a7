package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// nodeProgram is what the deploy file builds and runs.
const nodeProgram = "target/bulrushd"

// world holds what a case has started.
type world struct {
	begin  time.Time
	folder string
	store  *store
	nodes  []*node
	// taken are the addresses that the case uses.
	taken map[string]bool

	mutex  sync.Mutex
	record *os.File
}

func newWorld(recordPath string) (*world, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	return &world{begin: time.Now(), folder: folder, store: newStore(), record: record, taken: make(map[string]bool)}, nil
}

// note writes a line to the record, with the time since the begin.
func (w *world) note(format string, values ...any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.begin).Seconds(), fmt.Sprintf(format, values...))
}

// close ends all processes that the case started.
func (w *world) close() {
	for _, n := range w.nodes {
		n.kill()
	}
	_ = w.record.Close()
	_ = os.RemoveAll(w.folder)
}

// freeAddresses returns loopback addresses with ports that nothing listens on. They are
// below those that systems choose for outgoing connections, which might take them before
// they are used.
func (w *world) freeAddresses(count int) ([]string, error) {
	var addresses []string
	for tries := 0; len(addresses) < count; tries++ {
		if tries > 1000 {
			return nil, errors.New("no free ports")
		}
		address := fmt.Sprintf("127.0.0.1:%d", 15000+rand.IntN(15000))
		if w.taken[address] {
			continue
		}
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = listener.Close()
		w.taken[address] = true
		addresses = append(addresses, address)
	}
	return addresses, nil
}

// serveHTTP serves a handler at an address until the process ends.
func serveHTTP(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(listener, handler) }()
	return nil
}

// node is a node of the project with its addresses.
type node struct {
	world                                                  *world
	name, zone, service                                    string
	caller, ready, announce, peer, operator, backend, side string
	command                                                *exec.Cmd
	ended                                                  chan struct{}
}

func (w *world) newNode(name, zone, service string) (*node, error) {
	a, err := w.freeAddresses(7)
	if err != nil {
		return nil, err
	}
	n := &node{
		world: w, name: name, zone: zone, service: service,
		caller: a[0], ready: a[1], announce: a[2], peer: a[3], operator: a[4], backend: a[5], side: a[6],
	}
	w.nodes = append(w.nodes, n)
	return n, serveHTTP(n.side, w.store)
}

// start writes the settings file and starts the node with the command of the deploy file.
func (n *node) start(first bool) error {
	settings := map[string]any{
		"instance": n.name, "data_centre": n.zone, "region": "mn-central", "service": n.service,
		"caller_address": n.caller, "ready_address": n.ready, "announce_address": n.announce,
		"peer_address": n.peer, "operator_address": n.operator, "backend_address": n.backend,
		"store_address": n.side, "first_start": first,
		"bounds": map[string]any{
			"seedLagS": 3, "reuseAfterS": 2, "contactS": 3000, "ackS": 4000, "catchUpS": 4, "drainS": 2000, "graceS": 6,
			"lossSlackS": 200, "configS": 2000, "rollbackSlackS": 250, "maxSkewS": 5000, "retryBudgetRatio": 0.2,
			"budgetWindowS": 10, "retryBudgetSlack": 60, "exposureShare": 0.1, "exposureSlack": 50, "rollbackS": 5000,
			"coldOverage": 1.5, "coldSlack": 5, "evacuateS": 5000, "recoveryS": 15, "probesPerS": 60,
		},
		"usage": map[string]any{"address": "", "duties": []string{}},
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	path := filepath.Join(n.world.folder, n.name+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(n.world.folder, n.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	n.command = exec.Command(nodeProgram, "platform")
	n.command.Env = append(os.Environ(), "BULRUSHCHUTE_BOOT="+path)
	n.command.Stdout, n.command.Stderr = output, output
	if err := n.command.Start(); err != nil {
		return err
	}
	n.world.note("node %s started", n.name)
	n.ended = make(chan struct{})
	go func(command *exec.Cmd, ended chan struct{}) {
		_ = command.Wait()
		close(ended)
	}(n.command, n.ended)
	return nil
}

// kill ends the node's process and waits for its end.
func (n *node) kill() {
	if n.command != nil && n.command.Process != nil {
		_ = n.command.Process.Kill()
		<-n.ended
	}
}

// awaitReady waits until the node answers the readiness check.
func (n *node) awaitReady(limit time.Duration) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + n.ready + "/bulrushchute/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// logLines returns the lines of the node's log that contain a text.
func (n *node) logLines(text string) []string {
	data, _ := os.ReadFile(filepath.Join(n.world.folder, n.name+".log"))
	var lines []string
	for _, line := range strings.Split(string(data), "\n") {
		if strings.Contains(line, text) {
			lines = append(lines, line)
		}
	}
	return lines
}

type route struct {
	Name      string `json:"name"`
	Host      string `json:"host"`
	Prefix    string `json:"prefix"`
	Kind      string `json:"kind"`
	TimeoutMs int    `json:"timeout_ms"`
	AimMs     int    `json:"objective_ms"`
	Rank      int    `json:"rank"`
	Service   string `json:"service"`
	Attempts  int    `json:"attempts"`
}

// putConfig writes the configuration as the operator does.
func (w *world) putConfig(version int, services []string, routes []route) {
	var entries []map[string]any
	for _, service := range services {
		entries = append(entries, map[string]any{
			"name": service, "health_path": "/health", "connections": 240, "cold_start_s": 3.0, "cold_per_s": 8.4,
		})
	}
	w.store.put("config", "main", map[string]any{
		"version": version, "routes": routes, "services": entries,
		"limits": map[string]any{"header_bytes": 16384, "body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	w.note("operator: configuration r%d acknowledged", version)
}

// announcement is a heartbeat of a server.
type announcement struct {
	Service  string `json:"service"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Version  string `json:"version"`
	Slots    int    `json:"slots"`
	State    string `json:"state"`
	ColdMs   int    `json:"cold_ms"`
	Sequence int    `json:"sequence"`
	Born     int64  `json:"born"`
}

// beat sends a heartbeat and reports whether it was acknowledged.
func (n *node) beat(id string, a announcement) bool {
	data, err := json.Marshal(a)
	if err != nil {
		return false
	}
	client := http.Client{Timeout: time.Second}
	response, err := client.Post("http://"+n.announce+"/bulrushchute/rpc?call=instances.heartbeat&of="+id, "application/json", bytes.NewReader(data))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode/100 == 2
}

// noteLogs writes the last lines of the nodes' logs to the record.
func (w *world) noteLogs() {
	for _, n := range w.nodes {
		lines := n.logLines("")
		for _, line := range lines[max(0, len(lines)-30):] {
			w.note("%s: %s", n.name, line)
		}
	}
}
