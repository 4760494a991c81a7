package bulrushrouting

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"bulrushchute.example/bulrushchute"
)

// benchSeeds is the number of seeds that one run of BenchmarkPolicies averages.
const benchSeeds = 24

type balancerFactory func(entry int, random *rand.Rand) Balancer

func balancerFactories() map[string]balancerFactory {
	factories := map[string]balancerFactory{"router": newSimRouter}
	for policy := RoundRobin; policy <= TwoChoicesOwn; policy++ {
		factories[policy.String()] = func(_ int, random *rand.Rand) Balancer { return NewBaseline(policy, random) }
	}
	return factories
}

func newSimRouter(entry int, random *rand.Rand) Balancer {
	self := bulrushchute.InstanceID(fmt.Sprint("entry-", entry))
	return NewRouter(Settings{Self: self, DataCentre: "dc"}, random)
}

// BenchmarkPolicies reports the latency quantiles of the simulation in
// simulated milliseconds, averaged over the seeds, and the total number of
// failed requests.
func BenchmarkPolicies(b *testing.B) {
	for name, newBalancer := range balancerFactories() {
		b.Run(name, func(b *testing.B) {
			var p50, p99, p999, failed float64
			for range b.N {
				p50, p99, p999, failed = 0, 0, 0, 0
				for seed := range uint64(benchSeeds) {
					sm := newSimulation(seed, newBalancer)
					sm.run()
					p50 += sm.quantile(0.5) / benchSeeds
					p99 += sm.quantile(0.99) / benchSeeds
					p999 += sm.quantile(0.999) / benchSeeds
					failed += float64(sm.failed)
				}
			}
			b.ReportMetric(p50, "p50_ms")
			b.ReportMetric(p99, "p99_ms")
			b.ReportMetric(p999, "p999_ms")
			b.ReportMetric(failed, "failed")
		})
	}
}

// BenchmarkPick and BenchmarkObserve measure the time and the allocations for
// one attempt.
func BenchmarkPick(b *testing.B) {
	for _, count := range []int{16, 100} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			router := benchRouter(count)
			b.ReportAllocs()
			for b.Loop() {
				router.Pick(1000, bulrushchute.PickQuery{})
			}
		})
	}
}

func BenchmarkObserve(b *testing.B) {
	for _, count := range []int{16, 100} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			router := benchRouter(count)
			load := bulrushchute.Load{InFlight: 3, Limit: 10, ServiceMs: 4}
			b.ReportAllocs()
			for b.Loop() {
				router.Started(1000, "0")
				router.Observe(1005, bulrushchute.Observation{Instance: "0", ElapsedMs: 5, Load: &load})
			}
		})
	}
}

func benchRouter(count int) *Router {
	router := NewRouter(Settings{Self: "self", Subset: count}, rand.New(rand.NewPCG(1, 2)))
	var members []bulrushchute.Instance
	for i := range count {
		members = append(members, bulrushchute.Instance{ID: bulrushchute.InstanceID(fmt.Sprint(i)), Slots: 10, State: bulrushchute.StateReady})
	}
	router.Update(0, members, nil)
	for i := range count {
		router.Started(990, members[i].ID)
	}
	return router
}
