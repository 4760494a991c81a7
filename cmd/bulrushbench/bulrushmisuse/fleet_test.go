package bulrushmisuse

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
	"bulrushchute.example/bulrushchute/cmd/bulrushbench/bulrushdemo"
	"bulrushchute.example/bulrushchute/cmd/bulrushbench/bulrushstandin"
)

const (
	viewService   = "view"
	ledgerService = "ledger"
	slots         = 18
	// requestTimeout is that of the services.
	requestTimeout = 5 * time.Second
	// maxNodeMemory and maxNodeDescriptors are what a node may use.
	maxNodeMemory      = 256 << 20
	maxNodeDescriptors = 4100
	// sampleInterval is how often open descriptors are counted.
	sampleInterval = 50 * time.Millisecond
	// ordinaryTries is how often an ordinary request is sent until it is answered, with
	// ordinaryPause between.
	ordinaryTries   = 15
	ordinaryPause   = 500 * time.Millisecond
	ordinaryTimeout = 2 * time.Second
)

var nodeBinary string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "bulrushd")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	nodeBinary = filepath.Join(dir, "bulrushd")
	build := exec.Command("go", "build", "-o", nodeBinary, "bulrushchute.example/bulrushchute/cmd/bulrushd")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build the node daemon:", err)
		return 1
	}
	return m.Run()
}

// withDescriptorLimit returns a program that runs the node with a limit of its own on
// open descriptors.
func withDescriptorLimit(t *testing.T, limit int) string {
	path := filepath.Join(t.TempDir(), "bulrushd")
	script := fmt.Sprintf("#!/bin/sh\nulimit -n %d\nexec %s \"$@\"\n", limit, nodeBinary)
	assert.NilError(t, os.WriteFile(path, []byte(script), 0o700))
	return path
}

// testFleet has two nodes beside servers of viewService and two beside servers of
// ledgerService. The misbehaving callers use the first one.
type testFleet struct {
	t         *testing.T
	instances []*bulrushdemo.Instance
}

func newTestFleet(t *testing.T, binary string) *testFleet {
	ctx := context.Background()
	fleet, err := bulrushdemo.NewFleet(ctx, binary)
	assert.NilError(t, err)
	t.Cleanup(func() {
		assert.Check(t, fleet.Stop())
		assert.Check(t, fleet.RemoveDir())
	})
	for _, service := range []bulrushchute.Service{viewService, ledgerService} {
		entry := bulrushcatalogue.ServiceEntry{
			Service: service, Owner: "test", TimeoutMs: bulrushchute.MillisOf(requestTimeout),
			Limits: bulrushcatalogue.Limits{Slots: slots, Connections: 260, Queue: 40, ColdSlots: slots, WarmMs: 1},
		}
		assert.NilError(t, fleet.Put(ctx, bulrushchute.KindServices, string(service), entry))
	}
	entry := bulrushcatalogue.DataCentreEntry{DataCentre: "dc-0", Region: "r", State: bulrushcatalogue.DataCentreServing, ReturnRampMs: 1}
	assert.NilError(t, fleet.Put(ctx, bulrushchute.KindDataCentres, "dc-0", entry))
	tf := &testFleet{t: t}
	for number := range 4 {
		config := bulrushstandin.Config{
			Service: viewService, Version: "v1", Slots: slots, Connections: 260, ColdSlots: slots,
			Behaviour: bulrushstandin.Behaviour{ServiceMs: 5}, Seed: uint64(number),
		}
		if number >= 2 {
			config.Service = ledgerService
		}
		instance, err := fleet.Start(bulrushdemo.InstanceConfig{DataCentre: "dc-0", Backend: config})
		assert.NilError(t, err)
		tf.instances = append(tf.instances, instance)
	}
	assert.NilError(t, fleet.WaitReady(ctx))
	return tf
}

// crowded returns the node that the misbehaving callers use.
func (tf *testFleet) crowded() *bulrushdemo.Instance {
	return tf.instances[0]
}

// watchDescriptors counts the open descriptors of all nodes until the returned function
// is called, which returns the largest count of each node.
func (tf *testFleet) watchDescriptors() func() []int {
	highest := make([]int, len(tf.instances))
	sample := func() {
		for i, instance := range tf.instances {
			count, err := instance.OpenDescriptors()
			if err == nil {
				highest[i] = max(highest[i], count)
			}
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	var watch sync.WaitGroup
	watch.Go(func() {
		for ctx.Err() == nil {
			sample()
			time.Sleep(sampleInterval)
		}
	})
	return func() []int {
		cancel()
		watch.Wait()
		sample()
		return highest
	}
}

// checkNodes checks that all nodes live, and what they have used at most.
func (tf *testFleet) checkNodes(descriptors []int, maxDescriptors int) {
	peaks := make([]int64, len(tf.instances))
	for i, instance := range tf.instances {
		assert.Check(tf.t, instance.Signal(syscall.Signal(0)))
		peak, err := instance.PeakMemory()
		assert.Check(tf.t, err)
		peaks[i] = peak >> 20
		assert.Check(tf.t, peak <= maxNodeMemory, "node %d: %d MB", i, peak>>20)
		assert.Check(tf.t, descriptors[i] <= maxDescriptors, "node %d: %d descriptors", i, descriptors[i])
	}
	tf.t.Logf("peak_mb=%v descriptors=%v", peaks, descriptors)
}

// checkOrdinaryRequests checks that the crowded node answers a small request to each
// service, as a caller that repeats what was refused sees it.
func (tf *testFleet) checkOrdinaryRequests() {
	for _, service := range []string{viewService, ledgerService} {
		var result string
		for range ordinaryTries {
			result = request(tf.crowded(), service, []byte("ordinary"), ordinaryTimeout)
			if result == "200" {
				break
			}
			time.Sleep(ordinaryPause)
		}
		assert.Check(tf.t, result == "200", "%s: %s", service, result)
	}
}

// request sends a request with a body on a new connection, and returns "200" if the server
// got the whole body, or else what happened.
func request(node *bulrushdemo.Instance, service string, body []byte, timeout time.Duration) string {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+string(node.Settings.CallerAddress)+"/", bytes.NewReader(body))
	if err != nil {
		return err.Error()
	}
	id := uuid.NewString()
	request.Header.Set("Bulrush-Service", service)
	request.Header.Set(bulrushstandin.HeaderRequestID, id)
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	switch {
	case err != nil:
		return err.Error()
	case response.StatusCode != http.StatusOK:
		return fmt.Sprintf("%d %s", response.StatusCode, answer)
	case string(answer) != id:
		return fmt.Sprintf("200 with the answer to another request: %q", answer)
	case response.Header.Get(bulrushstandin.HeaderBodyBytes) != strconv.Itoa(len(body)):
		return "200, but the server got " + response.Header.Get(bulrushstandin.HeaderBodyBytes) + " bytes"
	}
	return "200"
}
