package bulrushdemo_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute/bulrushstore"
	"bulrushchute.example/bulrushchute/cmd/bulrushbench/bulrushdemo"
	"bulrushchute.example/bulrushchute/cmd/bulrushbench/bulrushstandin"
)

var (
	soakSeeds = flag.Int("soak.seeds", 1, "number of seeds that the soak runs")
	soakFirst = flag.Uint64("soak.first", 1, "first seed of the soak")
	soakSpan  = flag.Duration("soak.span", 6*time.Second, "time for which the soak injects faults for each seed")
)

const (
	// soakLanes is the number of series of faults that overlap.
	soakLanes = 3
	// frozenLane is the lane whose instance is frozen. Callers do not use it,
	// since a frozen node answers nobody.
	frozenLane = 0
)

// soak injects faults into running nodes from outside them.
type soak struct {
	t         *testing.T
	fleet     *bulrushdemo.Fleet
	instances []*bulrushdemo.Instance
	until     time.Time
	// starting keeps two lanes from starting an instance at once.
	starting sync.Mutex
}

// run is one lane: faults of one instance in series until the time is over.
// Each lane has its own instance of its own service.
func (s *soak) run(lane int, random *rand.Rand) {
	for time.Now().Before(s.until) {
		span := time.Duration(100+random.IntN(1500)) * time.Millisecond
		fault := random.IntN(4)
		s.t.Logf("lane=%d fault=%d span=%s", lane, fault, span)
		switch {
		case lane == frozenLane:
			s.freeze(s.instances[lane], span)
		case fault == 0:
			s.replace(lane, s.fleet.Kill)
		case fault == 1:
			s.replace(lane, s.fleet.Leave)
		case fault == 2:
			s.slow(s.instances[lane], span)
		default:
			s.storeFaults(random.Uint64(), span)
		}
		time.Sleep(span / 2)
	}
}

func (s *soak) freeze(instance *bulrushdemo.Instance, span time.Duration) {
	assert.Check(s.t, instance.Signal(syscall.SIGSTOP))
	time.Sleep(span)
	assert.Check(s.t, instance.Signal(syscall.SIGCONT))
}

// replace ends an instance and starts another one in its place.
func (s *soak) replace(lane int, end func(*bulrushdemo.Instance) error) {
	s.starting.Lock()
	defer s.starting.Unlock()
	former := s.instances[lane]
	assert.Check(s.t, end(former))
	s.instances[lane] = startInstance(s.t, s.fleet, lane)
	assert.Check(s.t, s.fleet.WaitJoined(context.Background(), s.instances[lane]))
	assert.Check(s.t, former.WaitExit())
}

func (s *soak) slow(instance *bulrushdemo.Instance, span time.Duration) {
	instance.Backend.SetBehaviour(bulrushstandin.Behaviour{ServiceMs: 60})
	time.Sleep(span)
	instance.Backend.SetBehaviour(bulrushstandin.Behaviour{ServiceMs: 5})
}

func (s *soak) storeFaults(seed uint64, span time.Duration) {
	s.fleet.Memory.SetFaults(bulrushstore.SeededFaults(seed, bulrushstore.FaultRates{ResponseLost: 0.3, Down: 0.3, Slow: 0.2, Delay: 300}))
	time.Sleep(span)
	s.fleet.Memory.SetFaults(nil)
}

// Guards against lost, doubled or crossed work while freezes, crashes,
// replacements, slow servers and a failing store overlap at random. The checks
// compare what callers were told with what the backend servers recorded.
func TestSoak(t *testing.T) {
	for offset := range uint64(*soakSeeds) {
		seed := *soakFirst + offset
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			fleet, instances := newFleet(t)
			s := &soak{t: t, fleet: fleet, instances: instances, until: time.Now().Add(time.Second + *soakSpan)}
			underLoad(t, fleet, addresses(instances, instances[frozenLane]), func() {
				var lanes sync.WaitGroup
				for lane := range soakLanes {
					lanes.Add(1)
					go func() {
						defer lanes.Done()
						s.run(lane, rand.New(rand.NewPCG(seed, uint64(lane))))
					}()
				}
				lanes.Wait()
			})
		})
	}
}
