package bulrushdemo_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
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
	// maxNodeMemory is the memory that a node may use.
	maxNodeMemory = 256 << 20
	// longAnswerBlocks are a little less than the maximum size of a body.
	longAnswerBlocks  = 200
	longAnswerSlots   = 18
	longAnswerTimeout = 5 * time.Second
	// longAnswerLoad is how long the requests are sent.
	longAnswerLoad     = 6 * time.Second
	longAnswerInterval = 5 * time.Millisecond
)

// longAnswerFleet starts two instances of viewService, whose servers have the given
// behaviour, and two of ledgerService.
func longAnswerFleet(t *testing.T, behaviour bulrushstandin.Behaviour) (*bulrushdemo.Fleet, []*bulrushdemo.Instance) {
	ctx := context.Background()
	fleet, err := bulrushdemo.NewFleet(ctx, nodeBinary)
	assert.NilError(t, err)
	t.Cleanup(func() {
		assert.Check(t, fleet.Stop())
		assert.Check(t, fleet.RemoveDir())
	})
	limits := bulrushcatalogue.Limits{Slots: longAnswerSlots, Connections: 260, Queue: 40, ColdSlots: longAnswerSlots, WarmMs: 1}
	for _, service := range []bulrushchute.Service{viewService, ledgerService} {
		entry := bulrushcatalogue.ServiceEntry{Service: service, Owner: "test", TimeoutMs: bulrushchute.MillisOf(longAnswerTimeout), Limits: limits}
		assert.NilError(t, fleet.Put(ctx, bulrushchute.KindServices, string(service), entry))
	}
	entry := bulrushcatalogue.DataCentreEntry{DataCentre: "dc-0", Region: "r", State: bulrushcatalogue.DataCentreServing, ReturnRampMs: 1}
	assert.NilError(t, fleet.Put(ctx, bulrushchute.KindDataCentres, "dc-0", entry))
	var instances []*bulrushdemo.Instance
	for number := range 4 {
		config := bulrushstandin.Config{
			Service: viewService, Version: "v1", Slots: longAnswerSlots, Connections: 260, ColdSlots: longAnswerSlots,
			Behaviour: behaviour, Seed: uint64(number),
		}
		if number >= 2 {
			config.Service, config.Behaviour = ledgerService, bulrushstandin.Behaviour{ServiceMs: 5}
		}
		instance, err := fleet.Start(bulrushdemo.InstanceConfig{DataCentre: "dc-0", Backend: config})
		assert.NilError(t, err)
		instances = append(instances, instance)
	}
	assert.NilError(t, fleet.WaitReady(ctx))
	return fleet, instances
}

// counts are the numbers of requests by what their callers were told.
type counts struct {
	mutex sync.Mutex
	// byResult has the requests by service, status and whether the body was whole.
	byResult map[string]int
}

func (c *counts) add(result string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.byResult[result]++
}

// request sends a request to a service through a node and reads the whole body.
func (c *counts) request(ctx context.Context, client *http.Client, node *bulrushdemo.Instance, service string) {
	ctx, cancel := context.WithTimeout(ctx, longAnswerTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(node.Settings.CallerAddress)+"/", nil)
	if err != nil {
		c.add(service + " " + err.Error())
		return
	}
	request.Header.Set("Bulrush-Service", service)
	request.Header.Set(bulrushstandin.HeaderRequestID, uuid.NewString())
	response, err := client.Do(request)
	if err != nil {
		c.add(service + " no response")
		return
	}
	defer func() { _ = response.Body.Close() }()
	length, err := io.Copy(io.Discard, response.Body)
	c.add(fmt.Sprintf("%s %d whole=%t", service, response.StatusCode, err == nil && length == response.ContentLength))
}

func checkPeakMemory(t *testing.T, instances []*bulrushdemo.Instance) {
	var peaks []int64
	for _, instance := range instances {
		peak, err := instance.PeakMemory()
		assert.NilError(t, err)
		peaks = append(peaks, peak>>20)
		assert.Check(t, peak <= maxNodeMemory, "%d MB", peak>>20)
	}
	t.Logf("peak_mb=%v", peaks)
}

// Guards against a node that runs out of memory because its backend server, or many of
// them, send long answers or bytes without an end: each answer is limited, and so must be
// their sum. Requests to other services must not suffer.
func TestMemoryUnderLongAnswers(t *testing.T) {
	cases := map[string]bulrushstandin.Behaviour{
		"endless":           {AnswerBlocks: bulrushstandin.EndlessAnswer},
		"endless in pieces": {AnswerBlocks: bulrushstandin.EndlessAnswer, BlockMs: 10},
		"long":              {AnswerBlocks: longAnswerBlocks},
		"long in pieces":    {AnswerBlocks: longAnswerBlocks, BlockMs: 10},
	}
	for name, behaviour := range cases {
		t.Run(name, func(t *testing.T) {
			_, instances := longAnswerFleet(t, behaviour)
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
			defer client.CloseIdleConnections()
			results := &counts{byResult: make(map[string]int)}
			var callers sync.WaitGroup
			begin := time.Now()
			for number := 0; time.Since(begin) < longAnswerLoad; number++ {
				service := viewService
				if number%8 >= 6 {
					service = ledgerService
				}
				callers.Go(func() { results.request(t.Context(), client, instances[number%len(instances)], service) })
				time.Sleep(longAnswerInterval)
			}
			callers.Wait()
			checkPeakMemory(t, instances)
			t.Logf("results=%v", results.byResult)
			for result, count := range results.byResult {
				if len(result) > len(ledgerService) && result[:len(ledgerService)] == ledgerService {
					assert.Check(t, result == ledgerService+" 200 whole=true", "%s: %d", result, count)
				}
			}
		})
	}
}

// Guards against a node that runs out of memory because its callers do not read their long
// responses.
func TestMemoryUnderCallersThatDoNotRead(t *testing.T) {
	const callers = 60
	_, instances := longAnswerFleet(t, bulrushstandin.Behaviour{AnswerBlocks: longAnswerBlocks})
	node := instances[len(instances)-1]
	for range callers {
		socket, err := net.Dial("tcp", string(node.Settings.CallerAddress))
		assert.NilError(t, err)
		defer func() { _ = socket.Close() }()
		_, err = fmt.Fprintf(socket, "GET / HTTP/1.1\r\nHost: a\r\nBulrush-Service: %s\r\n%s: %s\r\n\r\n", viewService, bulrushstandin.HeaderRequestID, uuid.NewString())
		assert.NilError(t, err)
	}
	time.Sleep(longAnswerTimeout)
	checkPeakMemory(t, instances)
}
