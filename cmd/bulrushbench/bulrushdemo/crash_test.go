package bulrushdemo_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
	"bulrushchute.example/bulrushchute/cmd/bulrushbench/bulrushdemo"
	"bulrushchute.example/bulrushchute/cmd/bulrushbench/bulrushstandin"
)

// The bounds of the users' rule on a request that crashes the servers that run it:
// it may reach servers in maxLateRuns retries that are sent later than knownWithin
// after it has crashed the third one.
const (
	knownAfterCrashes = 3
	knownWithin       = 3 * time.Second
	maxLateRuns       = 3
)

const (
	crashPath        = "/crash"
	goodPath         = "/good"
	crashRestartMs   = 2000
	crashAfterMs     = 80
	goodInterval     = 25 * time.Millisecond
	crashServers     = 8
	crashDataCentres = 2
)

// outcome is what a caller was told.
type outcome struct {
	at     time.Time
	status int
	reason string
}

func (o outcome) String() string { return fmt.Sprintf("%d %s", o.status, o.reason) }

// crashFleet starts the servers of one service, in two data centres, which crash
// when they run crashPath.
func crashFleet(t *testing.T) (*bulrushdemo.Fleet, []*bulrushdemo.Instance) {
	ctx := context.Background()
	fleet, err := bulrushdemo.NewFleet(ctx, nodeBinary)
	assert.NilError(t, err)
	t.Cleanup(func() {
		assert.Check(t, fleet.Stop())
		assert.Check(t, fleet.RemoveDir())
	})
	entry := bulrushcatalogue.ServiceEntry{
		Service: viewService, Owner: "test", TimeoutMs: 3000,
		Limits: bulrushcatalogue.Limits{Slots: 10, Connections: 240, Queue: 40, ColdSlots: 2, WarmMs: 500},
	}
	assert.NilError(t, fleet.Put(ctx, bulrushchute.KindServices, viewService, entry))
	var instances []*bulrushdemo.Instance
	for number := range crashServers {
		dataCentre := fmt.Sprintf("dc-%d", number%crashDataCentres)
		entry := bulrushcatalogue.DataCentreEntry{DataCentre: bulrushchute.DataCentre(dataCentre), Region: "r", State: bulrushcatalogue.DataCentreServing, ReturnRampMs: 1000}
		assert.NilError(t, fleet.Put(ctx, bulrushchute.KindDataCentres, dataCentre, entry))
		instance, err := fleet.Start(bulrushdemo.InstanceConfig{
			DataCentre: dataCentre,
			Backend: bulrushstandin.Config{
				Service: viewService, Version: "v1", Slots: 10, Connections: 240, ColdSlots: 2, WarmMs: 500, RestartMs: crashRestartMs,
				Behaviour: bulrushstandin.Behaviour{ServiceMs: 20, CrashPath: crashPath, CrashAfterMs: crashAfterMs}, Seed: uint64(number),
			},
		})
		assert.NilError(t, err)
		instances = append(instances, instance)
	}
	assert.NilError(t, fleet.WaitReady(ctx))
	return fleet, instances
}

// get sends a request to a node and returns what it was told.
func get(ctx context.Context, instance *bulrushdemo.Instance, path, id string) outcome {
	ctx, cancel := context.WithTimeout(ctx, 4*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(instance.Settings.CallerAddress)+path, nil)
	if err != nil {
		return outcome{reason: err.Error()}
	}
	request.Header.Set("Bulrush-Service", viewService)
	request.Header.Set("Bulrush-Tenant", "a")
	request.Header.Set(bulrushstandin.HeaderRequestID, id)
	result := outcome{at: time.Now()}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		result.reason = err.Error()
		return result
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	result.status, result.reason = response.StatusCode, response.Header.Get("Bulrush-Reason")
	return result
}

// callEvery sends a request to each node in turn, at the given interval, until the
// context ends. It returns the outcomes in the order of sending.
func callEvery(ctx context.Context, instances []*bulrushdemo.Instance, path string, interval time.Duration) []outcome {
	var mutex sync.Mutex
	var outcomes []outcome
	var calls sync.WaitGroup
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for number := 0; ; number++ {
		select {
		case <-ctx.Done():
			calls.Wait()
			slices.SortFunc(outcomes, func(a, b outcome) int { return a.at.Compare(b.at) })
			return outcomes
		case <-ticker.C:
		}
		calls.Go(func() {
			result := get(context.WithoutCancel(ctx), instances[number%len(instances)], path, fmt.Sprintf("%s-%d", path, number))
			mutex.Lock()
			defer mutex.Unlock()
			outcomes = append(outcomes, result)
		})
	}
}

// callsWhile sends good requests and, if an interval is given, crashing ones while
// it runs a function.
func callsWhile(instances []*bulrushdemo.Instance, crashInterval time.Duration, run func()) (good, crashing []outcome) {
	ctx, stop := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	callers.Go(func() { good = callEvery(ctx, instances, goodPath, goodInterval) })
	if crashInterval > 0 {
		callers.Go(func() { crashing = callEvery(ctx, instances, crashPath, crashInterval) })
	}
	run()
	stop()
	callers.Wait()
	return good, crashing
}

// crashRecords returns the times of all crashes and of all runs that cause one.
func crashRecords(fleet *bulrushdemo.Fleet) (crashes, runs []time.Time) {
	for _, report := range fleet.Reports() {
		crashes = append(crashes, report.CrashesAt...)
		runs = append(runs, report.CrashRunsAt...)
	}
	slices.SortFunc(crashes, time.Time.Compare)
	slices.SortFunc(runs, time.Time.Compare)
	return crashes, runs
}

// checkLateRuns checks the users' rule on a request that crashes its servers.
func checkLateRuns(t *testing.T, crashes, runs []time.Time) {
	t.Helper()
	if len(crashes) < knownAfterCrashes {
		return
	}
	known := crashes[knownAfterCrashes-1].Add(knownWithin)
	late := slices.DeleteFunc(runs, func(at time.Time) bool { return at.Before(known) })
	assert.Check(t, len(late) <= maxLateRuns, "%d runs later than %s after the third crash", len(late), knownWithin)
}

func countOutcomes(outcomes []outcome) map[string]int {
	counts := make(map[string]int)
	for _, o := range outcomes {
		counts[o.String()]++
	}
	return counts
}

// Guards against a request that crashes each server that runs it, again and again,
// because nothing recognises it when it comes again.
func TestCrashingRequestReachesFewServers(t *testing.T) {
	cases := map[string]struct {
		interval time.Duration
		// maxCrashes is the number of servers that may crash in all, 0 for any.
		maxCrashes int
	}{
		"steady": {interval: 400 * time.Millisecond, maxCrashes: 3},
		"burst":  {interval: 20 * time.Millisecond},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			fleet, instances := crashFleet(t)
			good, crashing := callsWhile(instances, tc.interval, func() { time.Sleep(14 * time.Second) })
			crashes, runs := crashRecords(fleet)
			t.Logf("crashes=%d runs=%d told=%v good=%v", len(crashes), len(runs), countOutcomes(crashing), countOutcomes(good))
			assert.Assert(t, len(crashes) > 0)
			checkLateRuns(t, crashes, runs)
			assert.Check(t, tc.maxCrashes == 0 || len(crashes) <= tc.maxCrashes, "%d crashes", len(crashes))
			checkServedAtTheEnd(t, good)
			for _, o := range crashing {
				assert.Check(t, o.status != http.StatusOK)
			}
		})
	}
}

// Guards against a good request that is refused because it ran while servers were
// killed, once or several times.
func TestGoodRequestIsServedAfterCrashes(t *testing.T) {
	cases := map[string]func(instances []*bulrushdemo.Instance){
		"a data centre at once, twice": func(instances []*bulrushdemo.Instance) {
			for range 2 {
				for number, instance := range instances {
					if number%crashDataCentres == 0 {
						instance.Backend.Crash(instance.Backend.Generation())
					}
				}
				time.Sleep(4 * time.Second)
			}
		},
		"one after the other": func(instances []*bulrushdemo.Instance) {
			for _, instance := range instances {
				instance.Backend.Crash(instance.Backend.Generation())
				time.Sleep(300 * time.Millisecond)
			}
		},
		"all at once": func(instances []*bulrushdemo.Instance) {
			for _, instance := range instances {
				instance.Backend.Crash(instance.Backend.Generation())
			}
		},
	}
	_, instances := crashFleet(t)
	for name, crash := range cases {
		t.Run(name, func(t *testing.T) {
			good, _ := callsWhile(instances, 0, func() {
				time.Sleep(time.Second)
				crash(instances)
				time.Sleep(5 * time.Second)
			})
			t.Logf("good=%v", countOutcomes(good))
			checkServedAtTheEnd(t, good)
			for _, o := range good {
				assert.Check(t, !strings.Contains(o.reason, "quarantine"), "%v", o)
			}
		})
	}
}

// checkServedAtTheEnd checks that the requests of the last two seconds were served.
func checkServedAtTheEnd(t *testing.T, outcomes []outcome) {
	t.Helper()
	assert.Assert(t, len(outcomes) > 0)
	end := outcomes[len(outcomes)-1].at
	late := slices.DeleteFunc(slices.Clone(outcomes), func(o outcome) bool { return o.at.Before(end.Add(-2 * time.Second)) })
	counts := countOutcomes(late)
	assert.Check(t, counts["200 "] == len(late), "outcomes of the last two seconds: %v", counts)
}
