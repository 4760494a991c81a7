package bulrushdemo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
	"bulrushchute.example/bulrushchute/cmd/bulrushbench/bulrushstandin"
)

const (
	overheadService = "echo"
	// warmUpCalls is the number of calls before a measurement. They open
	// connections and end the cold ramp.
	warmUpCalls  = 2000
	idleDuration = 20 * time.Second
	// clockTickSeconds is the unit of CPU time in /proc.
	clockTickSeconds = 0.01
	// Indexes of fields in /proc/PID/stat, counted after the command's name.
	userTimeField   = 11
	systemTimeField = 12
)

// Latency holds percentiles of a latency distribution, in milliseconds.
type Latency struct {
	P50Ms float64 `json:"p50_ms"`
	P99Ms float64 `json:"p99_ms"`
}

// Overhead is the latency and CPU time that nodes add to a call, and the cost
// of an idle node. A call is one request with its answer.
type Overhead struct {
	Calls int `json:"calls"`
	// Direct is the latency of calls from the caller straight to the backend
	// server.
	Direct Latency `json:"direct"`
	// ViaNodes is the latency of calls that pass an entry node and an admission
	// node.
	ViaNodes Latency `json:"through"`
	// Added is each percentile of ViaNodes minus that of Direct.
	Added Latency `json:"added"`
	// CPUMicrosPerCall is the CPU time that both nodes together use for one
	// call.
	CPUMicrosPerCall float64 `json:"cpu_us_per_call"`
	// IdleCPUShare is the share of a core that one node uses while idle.
	IdleCPUShare float64 `json:"cpu_at_rest"`
	// ControlBytesPerS is the control traffic that one node sends while idle.
	ControlBytesPerS float64 `json:"control_bytes_per_s"`
	Members          int     `json:"members"`
}

// MeasureOverhead starts two instances and compares direct calls to the backend
// server of one with calls through the node of the other.
func MeasureOverhead(ctx context.Context, nodeBinary string, calls int) (Overhead, error) {
	fleet, err := NewFleet(ctx, nodeBinary)
	if err != nil {
		return Overhead{}, err
	}
	result, err := measureOverhead(ctx, fleet, calls)
	if stopErr := fleet.Stop(); err == nil {
		err = stopErr
	}
	if removeErr := fleet.RemoveDir(); err == nil {
		err = removeErr
	}
	return result, err
}

func measureOverhead(ctx context.Context, fleet *Fleet, calls int) (Overhead, error) {
	entry, target, err := startPair(ctx, fleet)
	if err != nil {
		return Overhead{}, err
	}
	result := Overhead{Calls: calls}
	if err := result.measureIdle(ctx, entry); err != nil {
		return result, err
	}
	entryAddress := string(entry.Settings.CallerAddress)
	for _, address := range []string{target.Backend.Address(), entryAddress} {
		if _, err := measureLatency(ctx, address, warmUpCalls); err != nil {
			return result, err
		}
	}
	if result.Direct, err = measureLatency(ctx, target.Backend.Address(), calls); err != nil {
		return result, err
	}
	before := entry.cpuSeconds() + target.cpuSeconds()
	if result.ViaNodes, err = measureLatency(ctx, entryAddress, calls); err != nil {
		return result, err
	}
	const microsPerSecond = 1e6
	result.CPUMicrosPerCall = (entry.cpuSeconds() + target.cpuSeconds() - before) / float64(calls) * microsPerSecond
	result.Added = Latency{
		P50Ms: result.ViaNodes.P50Ms - result.Direct.P50Ms,
		P99Ms: result.ViaNodes.P99Ms - result.Direct.P99Ms,
	}
	return result, nil
}

// startPair starts the instance that receives the calls, and one of another
// service whose node is the entry node.
func startPair(ctx context.Context, fleet *Fleet) (entry, target *Instance, err error) {
	for _, service := range []string{overheadService, "idle"} {
		value := bulrushcatalogue.ServiceEntry{Service: bulrushchute.Service(service), Owner: "bench",
			Limits: bulrushcatalogue.Limits{ColdSlots: 10}}
		if err := fleet.Put(ctx, bulrushchute.KindServices, service, value); err != nil {
			return nil, nil, err
		}
	}
	var started []*Instance
	for _, service := range []string{"idle", overheadService} {
		instance, err := fleet.Start(InstanceConfig{DataCentre: "dc", Backend: bulrushstandin.Config{
			Service: service, Version: "v1", Slots: 10, Connections: 240, ColdSlots: 10,
		}})
		if err != nil {
			return nil, nil, err
		}
		started = append(started, instance)
	}
	return started[0], started[1], fleet.WaitReady(ctx)
}

// measureIdle measures the CPU time and control traffic of an idle node.
func (o *Overhead) measureIdle(ctx context.Context, instance *Instance) error {
	before, err := instance.Status(ctx)
	if err != nil {
		return err
	}
	cpu := instance.cpuSeconds()
	select {
	case <-time.After(idleDuration):
	case <-ctx.Done():
		return ctx.Err()
	}
	o.IdleCPUShare = (instance.cpuSeconds() - cpu) / idleDuration.Seconds()
	after, err := instance.Status(ctx)
	o.ControlBytesPerS = float64(after.Spread.SentBytes+after.Spread.ChargedBytes-before.Spread.SentBytes-before.Spread.ChargedBytes) / idleDuration.Seconds()
	o.Members = after.Members
	return err
}

// cpuSeconds returns the CPU time that the node's process has used, or 0 if it
// cannot be read.
func (i *Instance) cpuSeconds() float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", i.command.Process.Pid))
	if err != nil {
		return 0
	}
	_, fields, _ := strings.Cut(string(data), ") ")
	values := strings.Fields(fields)
	user, _ := strconv.ParseFloat(values[userTimeField], 64)
	system, _ := strconv.ParseFloat(values[systemTimeField], 64)
	return (user + system) * clockTickSeconds
}

// measureLatency sends calls sequentially, so that no call waits for another.
func measureLatency(ctx context.Context, address string, calls int) (Latency, error) {
	client := &http.Client{Transport: &http.Transport{Proxy: nil}}
	defer client.CloseIdleConnections()
	const minLatencyMicros, maxLatencyMicros, significantDigits = 1, 60_000_000, 3
	histogram := hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits)
	for number := range calls {
		begin := time.Now()
		if err := callOnce(ctx, client, address, number); err != nil {
			return Latency{}, err
		}
		if err := histogram.RecordValue(time.Since(begin).Microseconds()); err != nil {
			return Latency{}, errors.Wrap(err, "record latency")
		}
	}
	const microsPerMs = 1000
	return Latency{
		P50Ms: float64(histogram.ValueAtQuantile(50)) / microsPerMs,
		P99Ms: float64(histogram.ValueAtQuantile(99)) / microsPerMs,
	}, nil
}

func callOnce(ctx context.Context, client *http.Client, address string, number int) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/", nil)
	if err != nil {
		return errors.Wrap(err, "build call")
	}
	request.Header.Set("Bulrush-Service", overheadService)
	request.Header.Set(bulrushstandin.HeaderRequestID, strconv.Itoa(number))
	response, err := client.Do(request)
	if err != nil {
		return errors.Wrap(err, "send call")
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return errors.Wrap(err, "read answer")
	}
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("call %d got status %d, reason %s", number, response.StatusCode, response.Header.Get("Bulrush-Reason"))
	}
	return nil
}
