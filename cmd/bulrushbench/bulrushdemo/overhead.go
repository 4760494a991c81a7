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
	// overheadWarmUp lets connections open and the cold ramp end before the measurement.
	overheadWarmUp = 2000
	restFor        = 20 * time.Second
	// clockTick is the unit of processor time in /proc, in seconds.
	clockTick = 0.01
	// Fields of /proc/PID/stat after the command's name.
	userTimeField   = 11
	systemTimeField = 12
)

// Latency is a distribution in milliseconds.
type Latency struct {
	P50Ms float64 `json:"p50_ms"`
	P99Ms float64 `json:"p99_ms"`
}

// Overhead is what the nodes add to a call and cost at rest.
type Overhead struct {
	Calls int `json:"calls"`
	// Direct calls go from the caller to the backend server.
	Direct Latency `json:"direct"`
	// Through calls pass an entry node and the node beside the backend server.
	Through Latency `json:"through"`
	AddedMs Latency `json:"added"`
	// CPUMicrosPerCall is the processor time of both nodes for one call.
	CPUMicrosPerCall float64 `json:"cpu_us_per_call"`
	// CPUAtRest is the share of a core that one node uses without calls.
	CPUAtRest float64 `json:"cpu_at_rest"`
	// ControlBytesPerS is what one node sends to others at rest.
	ControlBytesPerS float64 `json:"control_bytes_per_s"`
	Members          int     `json:"members"`
}

// MeasureOverhead starts two instances, of which one serves, and compares
// calls through the other's node with direct calls.
func MeasureOverhead(ctx context.Context, binary string, calls int) (Overhead, error) {
	fleet, err := NewFleet(ctx, binary)
	if err != nil {
		return Overhead{}, err
	}
	result, err := measureOverhead(ctx, fleet, calls)
	if stopErr := fleet.Stop(); err == nil {
		err = stopErr
	}
	if removeErr := fleet.RemoveLogs(); err == nil {
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
	if err := result.rest(ctx, entry); err != nil {
		return result, err
	}
	through := string(entry.Settings.CallerAddress)
	for _, address := range []string{target.Backend.Address(), through} {
		if _, err := sequence(ctx, address, overheadWarmUp); err != nil {
			return result, err
		}
	}
	if result.Direct, err = sequence(ctx, target.Backend.Address(), calls); err != nil {
		return result, err
	}
	before := entry.cpuSeconds() + target.cpuSeconds()
	if result.Through, err = sequence(ctx, through, calls); err != nil {
		return result, err
	}
	const microsPerSecond = 1e6
	result.CPUMicrosPerCall = (entry.cpuSeconds() + target.cpuSeconds() - before) / float64(calls) * microsPerSecond
	result.AddedMs = Latency{
		P50Ms: result.Through.P50Ms - result.Direct.P50Ms,
		P99Ms: result.Through.P99Ms - result.Direct.P99Ms,
	}
	return result, nil
}

// startPair starts the serving instance and one of another service whose node
// is the entry node.
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

// rest measures a node without calls.
func (o *Overhead) rest(ctx context.Context, instance *Instance) error {
	before, err := instance.Status(ctx)
	if err != nil {
		return err
	}
	cpu := instance.cpuSeconds()
	select {
	case <-time.After(restFor):
	case <-ctx.Done():
		return ctx.Err()
	}
	o.CPUAtRest = (instance.cpuSeconds() - cpu) / restFor.Seconds()
	after, err := instance.Status(ctx)
	o.ControlBytesPerS = float64(after.Spread.SentBytes+after.Spread.ChargedBytes-before.Spread.SentBytes-before.Spread.ChargedBytes) / restFor.Seconds()
	o.Members = after.Members
	return err
}

// cpuSeconds returns the processor time that the node's process has used.
func (i *Instance) cpuSeconds() float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", i.command.Process.Pid))
	if err != nil {
		return 0
	}
	_, fields, _ := strings.Cut(string(data), ") ")
	values := strings.Fields(fields)
	user, _ := strconv.ParseFloat(values[userTimeField], 64)
	system, _ := strconv.ParseFloat(values[systemTimeField], 64)
	return (user + system) * clockTick
}

// sequence sends calls one after the other, so that no call waits for another.
func sequence(ctx context.Context, address string, calls int) (Latency, error) {
	client := &http.Client{Transport: &http.Transport{Proxy: nil}}
	defer client.CloseIdleConnections()
	const lowest, highest, digits = 1, 60_000_000, 3
	histogram := hdrhistogram.New(lowest, highest, digits)
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
		return errors.Wrap(err, "call")
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
