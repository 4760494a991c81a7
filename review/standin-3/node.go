package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// node is a process of the project's node, with the settings of one sidecar machine.
type node struct {
	world    *world
	name     string
	zone     string
	service  string
	caller   string
	ready    string
	announce string
	backend  string
	settings string
	command  *exec.Cmd
	ended    chan struct{}
}

// Ports are below those that the system gives to outgoing connections, which could take the
// address of a node before it starts. Scripts that run side by side use different blocks.
const firstPort, portBlock, portBlocks = 15000, 100, 150

var nextPort = firstPort + os.Getpid()%portBlocks*portBlock

// freeAddress returns a free loopback address that no other call has returned.
func freeAddress() string {
	for {
		address := fmt.Sprintf("127.0.0.1:%d", nextPort)
		nextPort++
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = listener.Close()
		return address
	}
}

// bounds are those of the site towpath-ub, under the names and in the units of deploy/wire.toml.
var bounds = map[string]any{
	"seedLagS": 3, "reuseAfterS": 2, "contactS": 3000, "ackS": 4000, "catchUpS": 4, "drainS": 2000, "graceS": 6,
	"lossSlackS": 200, "configS": 2000, "rollbackSlackS": 250, "maxSkewS": 5000, "retryBudgetRatio": 0.2,
	"budgetWindowS": 10, "retryBudgetSlack": 60, "exposureShare": 0.1, "exposureSlack": 50, "rollbackS": 5000,
	"coldOverage": coldOverage, "coldSlack": coldSlack, "evacuateS": 5000, "recoveryS": 15, "probesPerS": 60,
}

const (
	coldOverage = 1.5
	coldSlack   = 5
	graceS      = 6
)

// newNode lays out a node as deploy/settings.json.tmpl does.
func (w *world) newNode(name, zone, service string) *node {
	n := &node{
		world: w, name: name, zone: zone, service: service,
		caller: freeAddress(), ready: freeAddress(), announce: freeAddress(), backend: freeAddress(),
		settings: filepath.Join(w.folder, name+".json"),
	}
	settings := map[string]any{
		"instance": name, "data_centre": zone, "region": w.region, "service": service,
		"caller_address": n.caller, "ready_address": n.ready, "announce_address": n.announce,
		"peer_address": freeAddress(), "operator_address": freeAddress(), "backend_address": n.backend,
		"store_address": w.store.address(), "first_start": true, "bounds": bounds,
		"usage": map[string]any{"address": "", "duties": []string{}},
	}
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		panic(err)
	}
	if err := os.WriteFile(n.settings, data, 0o600); err != nil {
		panic(err)
	}
	w.nodes = append(w.nodes, n)
	return n
}

// start starts the process with the command of the deploy file.
func (n *node) start() {
	log, err := os.OpenFile(filepath.Join(n.world.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	// The command of the deploy file, in the repository root.
	command := exec.Command("target/bulrushd", "platform")
	command.Dir = n.world.root
	command.Env = []string{"BULRUSHCHUTE_BOOT=" + n.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + n.world.folder}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		panic(err)
	}
	ended := make(chan struct{})
	n.command, n.ended = command, ended
	n.world.record("%s: process %d started", n.name, command.Process.Pid)
	go func() {
		err := command.Wait()
		n.world.record("%s: process ended (%v)", n.name, err)
		_ = log.Close()
		close(ended)
	}()
}

func (n *node) signal(signal syscall.Signal) {
	n.world.record("%s: signal %v", n.name, signal)
	_ = n.command.Process.Signal(signal)
}

// stop ends the process at once.
func (n *node) stop() {
	if n.command == nil {
		return
	}
	_ = n.command.Process.Kill()
	<-n.ended
}

func (n *node) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + n.ready + "/bulrushchute/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits for the platform's readiness check.
func (n *node) awaitReady(limit time.Duration) error {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if n.isReady() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", n.name, limit)
}
