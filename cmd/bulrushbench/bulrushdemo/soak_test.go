package bulrushdemo_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute/bulrushstore"
	"bulrushchute.example/bulrushchute/cmd/bulrushbench/bulrushdemo"
)

var (
	soakSeeds    = flag.Int("soak.seeds", 1, "number of seeds that the soak runs")
	soakFirst    = flag.Uint64("soak.first", 1, "first seed of the soak")
	soakDuration = flag.Duration("soak.span", 6*time.Second, "time for which the soak injects faults for each seed")
)

const (
	// soakWorkers is the number of goroutines that inject faults at the same
	// time.
	soakWorkers = 3
	// freezeWorker is the worker that freezes its instance. Callers do not use
	// that instance, since a frozen node answers nobody.
	freezeWorker = 0
)

// soak injects faults into running nodes from outside their processes.
type soak struct {
	t         *testing.T
	fleet     *bulrushdemo.Fleet
	instances []*bulrushdemo.Instance
	// callers are the instances that no fault but a crash of their server hits.
	callers  []*bulrushdemo.Instance
	deadline time.Time
	// startMutex keeps two workers from starting instances at the same time,
	// since Fleet.Start is not safe for concurrent use.
	startMutex sync.Mutex
}

// runWorker injects faults one after the other until the deadline. Each worker
// has an instance of its own, and replaces it by one of the same service.
func (s *soak) runWorker(worker int, random *rand.Rand) {
	for time.Now().Before(s.deadline) {
		duration := time.Duration(100+random.IntN(1500)) * time.Millisecond
		fault := random.IntN(6)
		s.t.Logf("worker=%d fault=%d duration=%s", worker, fault, duration)
		switch {
		case worker == freezeWorker:
			s.freeze(s.instances[worker], duration)
		case fault == 0:
			s.replace(worker, s.fleet.Kill)
		case fault == 1:
			s.replace(worker, s.fleet.Leave)
		case fault == 2:
			s.slow(s.instances[worker], duration)
		case fault == 3:
			backend := s.instances[worker].Backend
			backend.Crash(backend.Generation())
			time.Sleep(duration)
		case fault == 4:
			s.sendCrashing(random, duration)
		default:
			s.injectStoreFaults(random.Uint64(), duration)
		}
		time.Sleep(duration / 2)
	}
}

func (s *soak) freeze(instance *bulrushdemo.Instance, duration time.Duration) {
	assert.Check(s.t, instance.Signal(syscall.SIGSTOP))
	time.Sleep(duration)
	assert.Check(s.t, instance.Signal(syscall.SIGCONT))
}

// replace ends an instance and starts another one in its place.
func (s *soak) replace(worker int, end func(*bulrushdemo.Instance) error) {
	s.startMutex.Lock()
	defer s.startMutex.Unlock()
	previous := s.instances[worker]
	assert.Check(s.t, end(previous))
	s.instances[worker] = startInstance(s.t, s.fleet, worker)
	assert.Check(s.t, s.fleet.WaitJoined(context.Background(), s.instances[worker]))
	assert.Check(s.t, previous.WaitExit())
}

// sendCrashing sends a request that crashes each server that runs it, to the nodes
// that callers use, at a random pace.
func (s *soak) sendCrashing(random *rand.Rand, duration time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	callEvery(ctx, s.callers, crashPath, time.Duration(20+random.IntN(400))*time.Millisecond)
}

func (s *soak) slow(instance *bulrushdemo.Instance, duration time.Duration) {
	behaviour := faultBehaviour
	behaviour.ServiceMs = 60
	instance.Backend.SetBehaviour(behaviour)
	time.Sleep(duration)
	instance.Backend.SetBehaviour(faultBehaviour)
}

func (s *soak) injectStoreFaults(seed uint64, duration time.Duration) {
	s.fleet.MemoryStore.SetFaults(bulrushstore.SeededFaults(seed, bulrushstore.FaultRates{ResponseLost: 0.3, Down: 0.3, Slow: 0.2, MaxDelay: 300}))
	time.Sleep(duration)
	s.fleet.MemoryStore.SetFaults(nil)
}

// Guards against lost, duplicated or crossed requests while freezes, crashes,
// replacements, slow servers, a failing store and a request that crashes its servers
// overlap at random, and against that request reaching too many servers. The checks
// compare the results that callers saw with the records of the backend servers.
func TestSoak(t *testing.T) {
	for offset := range uint64(*soakSeeds) {
		seed := *soakFirst + offset
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			fleet, instances := newFleet(t)
			// runUnderLoad sends requests for 1 s before the faults begin.
			s := &soak{t: t, fleet: fleet, instances: instances, callers: slices.Clone(instances[soakWorkers:]), deadline: time.Now().Add(time.Second + *soakDuration)}
			runUnderLoad(t, fleet, callerAddresses(instances, instances[freezeWorker]), func() {
				var workers sync.WaitGroup
				for worker := range soakWorkers {
					workers.Add(1)
					go func() {
						defer workers.Done()
						s.runWorker(worker, rand.New(rand.NewPCG(seed, uint64(worker))))
					}()
				}
				workers.Wait()
			})
			crashes, runs := crashRecords(fleet)
			checkLateRuns(t, crashes, runs)
		})
	}
}
