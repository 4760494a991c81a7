// Command standin3 plays the cases of the third review that are scripts: it starts nodes of
// the project beside stand-ins of the platform's store, of servers and of clients, all on
// loopback addresses, and checks one rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// world is one play of a case.
type world struct {
	// root is the repository, folder a temporary folder.
	root    string
	folder  string
	trouble bool
	store   *store
	nodes   []*node
	began   time.Time
	// healthPaths are the health paths of services, where they are not /health.
	healthPaths map[string]string
	// region is the region of all zones.
	region string

	mutex sync.Mutex
	lines []string
}

// record adds a line to record.txt.
func (w *world) record(format string, values ...any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.lines = append(w.lines, fmt.Sprintf("%8.3f ", time.Since(w.began).Seconds())+fmt.Sprintf(format, values...))
}

// cases are the plays by name. Each returns what broke the rule,
// empty if nothing did, or an error if it could not run.
var cases = map[string]func(w *world) (string, error){
	"evacuate":    playEvacuate,
	"health_path": playHealthPath,
	"leave":       playLeave,
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE REPOSITORY FOLDER")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, root, results string) int {
	play, known := cases[name]
	root, err := filepath.Abs(root)
	if !known || err != nil {
		fmt.Fprintln(os.Stderr, "no case", name, err)
		return 2
	}
	folder, err := os.MkdirTemp("", "standin3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	w := &world{root: root, folder: folder, trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), healthPaths: make(map[string]string), region: "mn-central"}
	if w.store, err = newStore(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		for _, n := range w.nodes {
			n.stop()
		}
		os.Exit(2)
	}()
	broken, err := playAndStop(w, play)
	code := 0
	switch {
	case err != nil:
		w.record("the case could not run: %v", err)
		code = 2
	case broken != "":
		w.record("BROKEN: %s", broken)
		code = 1
	default:
		w.record("held")
	}
	w.mutex.Lock()
	text := strings.ReplaceAll(strings.Join(w.lines, "\n"), folder, "FOLDER")
	fmt.Println(strings.ReplaceAll(w.lines[len(w.lines)-1], folder, "FOLDER"))
	w.mutex.Unlock()
	if err := os.WriteFile(filepath.Join(results, "record.txt"), []byte(text+"\n"), 0o644); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(folder)
	} else {
		fmt.Println(folder)
	}
	return code
}

// playAndStop plays a case and ends all processes that it started, also if it panics.
func playAndStop(w *world, play func(w *world) (string, error)) (broken string, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = fmt.Errorf("panic: %v", cause)
		}
		for _, n := range w.nodes {
			n.stop()
		}
	}()
	return play(w)
}

// route is a route of the configuration, in the names of deploy/wire.toml.
type route struct {
	Name      string `json:"name"`
	Host      string `json:"host"`
	Prefix    string `json:"prefix"`
	Kind      string `json:"kind"`
	TimeoutMs int    `json:"timeout_ms"`
	Objective int    `json:"objective_ms"`
	Rank      int    `json:"rank"`
	Service   string `json:"service"`
	Attempts  int    `json:"attempts"`
}

// healthPath returns the health path of a service.
func (w *world) healthPath(service string) string {
	if path, exists := w.healthPaths[service]; exists {
		return path
	}
	return "/health"
}

const coldPerS = 8.4

// configure writes the configuration as the operator does.
func (w *world) configure(version int, services []string, routes ...route) {
	var entries []map[string]any
	for _, service := range services {
		entries = append(entries, map[string]any{
			"name": service, "health_path": w.healthPath(service), "connections": 240, "protocol": "h1", "tls": false, "cold_start_s": 3.0, "cold_per_s": coldPerS,
		})
	}
	w.store.put("config", "main", map[string]any{
		"version": version, "routes": routes, "services": entries,
		"limits": map[string]any{"header_bytes": 16384, "body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	w.record("operator: configuration %d", version)
}
