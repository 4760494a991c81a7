package bulrushdemo_test

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
	"bulrushchute.example/bulrushchute/bulrushstore"
	"bulrushchute.example/bulrushchute/cmd/bulrushbench/bulrushdemo"
	"bulrushchute.example/bulrushchute/cmd/bulrushbench/bulrushload"
	"bulrushchute.example/bulrushchute/cmd/bulrushbench/bulrushstandin"
)

// nodeBinary is the path of the node daemon, which is built once for all tests.
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

const (
	viewService   = "view"
	ledgerService = "ledger"
)

// faultBehaviour is the behaviour of the servers of newFleet.
var faultBehaviour = bulrushstandin.Behaviour{ServiceMs: 5, CrashPath: crashPath, CrashAfterMs: crashAfterMs}

// newFleet starts four instances in each of two data centres: two of
// viewService and two of ledgerService.
func newFleet(t *testing.T) (*bulrushdemo.Fleet, []*bulrushdemo.Instance) {
	ctx := context.Background()
	fleet, err := bulrushdemo.NewFleet(ctx, nodeBinary)
	assert.NilError(t, err)
	t.Cleanup(func() {
		assert.Check(t, fleet.Stop())
		assert.Check(t, fleet.RemoveDir())
	})
	limits := bulrushcatalogue.Limits{Slots: 10, Connections: 240, Queue: 40, ColdSlots: 1, WarmMs: 1000}
	for _, service := range []bulrushchute.Service{viewService, ledgerService} {
		entry := bulrushcatalogue.ServiceEntry{Service: service, Owner: "test", TimeoutMs: 1500, Limits: limits}
		assert.NilError(t, fleet.Put(ctx, bulrushchute.KindServices, string(service), entry))
	}
	var instances []*bulrushdemo.Instance
	for number := range 8 {
		dataCentre := fmt.Sprintf("dc-%d", number%2)
		entry := bulrushcatalogue.DataCentreEntry{DataCentre: bulrushchute.DataCentre(dataCentre), Region: "r", State: bulrushcatalogue.DataCentreServing, ReturnRampMs: 1000}
		assert.NilError(t, fleet.Put(ctx, bulrushchute.KindDataCentres, dataCentre, entry))
		instances = append(instances, startInstance(t, fleet, number))
	}
	assert.NilError(t, fleet.WaitReady(ctx))
	return fleet, instances
}

// startInstance starts an instance. The number selects its data centre and its
// service, and is its random seed.
func startInstance(t *testing.T, fleet *bulrushdemo.Fleet, number int) *bulrushdemo.Instance {
	service := viewService
	if number%4 >= 2 {
		service = ledgerService
	}
	instance, err := fleet.Start(bulrushdemo.InstanceConfig{
		DataCentre: fmt.Sprintf("dc-%d", number%2),
		Backend: bulrushstandin.Config{
			Service: service, Version: "v1", Slots: 10, Connections: 240, ColdSlots: 2, WarmMs: 500,
			RestartMs: 300, Behaviour: faultBehaviour, Seed: uint64(number),
		},
	})
	assert.NilError(t, err)
	return instance
}

func faultProfiles() []bulrushload.Profile {
	return []bulrushload.Profile{
		{Name: "view", Service: viewService, Method: "GET", Path: "/", PerSecond: 100, TimeoutMs: 1500, Tenant: "a", Idempotent: true},
		{Name: "filing", Service: ledgerService, Method: "POST", Path: "/", PerSecond: 60, TimeoutMs: 1500, Tenant: "a"},
		{Name: "keyed", Service: ledgerService, Method: "POST", Path: "/", PerSecond: 60, TimeoutMs: 1500, Tenant: "b", Keyed: true},
	}
}

// runUnderLoad injects a fault while callers send requests, and checks the
// results that the callers saw against the records of the backend servers.
func runUnderLoad(t *testing.T, fleet *bulrushdemo.Fleet, addresses []string, fault func()) bulrushload.Result {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	targets := &bulrushload.Targets{}
	targets.Set(addresses)
	profiles := faultProfiles()
	results := make(chan []bulrushload.RequestResult, 1)
	go func() { results <- bulrushload.New(targets, profiles).Run(ctx, 1) }()
	time.Sleep(time.Second)
	fault()
	stop()
	result := bulrushload.Compare(profiles, <-results, fleet.Reports())
	t.Logf("requests=%d answered=%d not_run=%d unknown=%d reasons=%v unsettled=%q",
		result.Requests, result.Answered, result.NotRun, result.Unknown, result.Reasons, result.UnknownDetails)
	assert.Equal(t, result.Violations(), 0, "%+v", result)
	assert.Assert(t, result.Answered > 0)
	return result
}

// callerAddresses returns the caller addresses of all instances except one.
func callerAddresses(instances []*bulrushdemo.Instance, except *bulrushdemo.Instance) []string {
	var addresses []string
	for _, instance := range instances {
		if instance != except {
			addresses = append(addresses, string(instance.Settings.CallerAddress))
		}
	}
	return addresses
}

// Guards against lost, duplicated or crossed requests when processes crash,
// freeze or lose the store under load. The checks hold however long each step
// takes.
func TestFaultsUnderLoad(t *testing.T) {
	cases := map[string]func(t *testing.T, fleet *bulrushdemo.Fleet, instances []*bulrushdemo.Instance){
		"instance killed": func(t *testing.T, fleet *bulrushdemo.Fleet, instances []*bulrushdemo.Instance) {
			assert.NilError(t, fleet.Kill(instances[0]))
			assert.NilError(t, fleet.Kill(instances[3]))
			time.Sleep(2 * time.Second)
		},
		"node frozen and resumed": func(t *testing.T, _ *bulrushdemo.Fleet, instances []*bulrushdemo.Instance) {
			assert.NilError(t, instances[2].Signal(syscall.SIGSTOP))
			time.Sleep(6 * time.Second)
			assert.NilError(t, instances[2].Signal(syscall.SIGCONT))
			time.Sleep(2 * time.Second)
		},
		"store down": func(_ *testing.T, fleet *bulrushdemo.Fleet, _ []*bulrushdemo.Instance) {
			fleet.MemoryStore.SetDown(true)
			time.Sleep(6 * time.Second)
			fleet.MemoryStore.SetDown(false)
		},
		"store responses lost while a home is killed": func(t *testing.T, fleet *bulrushdemo.Fleet, instances []*bulrushdemo.Instance) {
			fleet.MemoryStore.SetFaults(bulrushstore.SeededFaults(3, bulrushstore.FaultRates{ResponseLost: 0.3, Down: 0.1}))
			assert.NilError(t, fleet.Kill(instances[2]))
			time.Sleep(5 * time.Second)
			fleet.MemoryStore.SetFaults(nil)
		},
	}
	for name, fault := range cases {
		t.Run(name, func(t *testing.T) {
			fleet, instances := newFleet(t)
			// A caller of the frozen node gets no answer at all, so callers use
			// the other nodes in every case.
			runUnderLoad(t, fleet, callerAddresses(instances, instances[2]), func() { fault(t, fleet, instances) })
		})
	}
}

// Guards against a node that exits unexpectedly without a trace of the cause:
// the error has to show its exit state and the tail of its log.
func TestExitedNodeErrorIncludesLog(t *testing.T) {
	fleet, instances := newFleet(t)
	assert.NilError(t, fleet.Kill(instances[0]))
	assert.NilError(t, instances[0].WaitExit())
	var exitErr *bulrushdemo.NodeExitedError
	assert.Assert(t, errors.As(instances[0].Signal(syscall.SIGCONT), &exitErr))
	assert.Equal(t, exitErr.State, "signal: killed")
	assert.Assert(t, exitErr.Log != "")
}

// Guards against a node that cannot start without the store: during an outage
// it takes members and catalogue from the seed addresses in its settings.
func TestNodeJoinsThroughPeersWhileTheStoreIsDown(t *testing.T) {
	fleet, instances := newFleet(t)
	fleet.MemoryStore.SetDown(true)
	fleet.Seeds = []bulrushchute.Address{instances[0].Settings.PeerAddress, instances[5].Settings.PeerAddress}
	joining := startInstance(t, fleet, 1)
	assert.NilError(t, fleet.WaitJoined(context.Background(), joining))
	result := runUnderLoad(t, fleet, []string{string(joining.Settings.CallerAddress)}, func() { time.Sleep(time.Second) })
	assert.Assert(t, result.Profiles["view"].Answered > 0)
}

// Guards against requests that are cut while nodes are replaced one by one.
// Callers have open connections to the nodes that leave and to those that stay.
func TestRollingReplacementCutsNothing(t *testing.T) {
	fleet, instances := newFleet(t)
	result := runUnderLoad(t, fleet, callerAddresses(instances, nil), func() {
		for number, instance := range instances[:4] {
			replacement := startInstance(t, fleet, number)
			assert.NilError(t, fleet.WaitJoined(context.Background(), replacement))
			assert.NilError(t, fleet.Leave(instance))
			assert.NilError(t, instance.WaitExit())
		}
	})
	for name, profileResult := range result.Profiles {
		assert.Equal(t, profileResult.Unknown, 0, "%s has requests with an unknown outcome", name)
	}
}
