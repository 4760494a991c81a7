package bulrushnode

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushboard"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
	"bulrushchute.example/bulrushchute/bulrushmove"
)

// serviceCounts are the numbers of services for which the capacity page reports
// figures.
var serviceCounts = []int{100, 1_000, 1_900}

// membersPerService is the average of a fleet of 23,000 instances in 1,900
// services.
const membersPerService = 12

func forServices(b *testing.B, run func(b *testing.B, count int)) {
	for _, count := range serviceCounts {
		b.Run(fmt.Sprintf("services=%d", count), func(b *testing.B) { run(b, count) })
	}
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

func serviceName(number int) bulrushchute.Service {
	return bulrushchute.Service(fmt.Sprintf("service-%d", number))
}

func sampleEntry(b *testing.B, number int) bulrushcatalogue.ServiceEntry {
	entry := bulrushcatalogue.ServiceEntry{Service: serviceName(number), Owner: "owner", TimeoutMs: 1000}
	for route := range 8 {
		entry.Routes = append(entry.Routes, bulrushcatalogue.Route{
			Name: fmt.Sprintf("route-%d", route), Prefix: fmt.Sprintf("/route-%d", route), Methods: []string{"GET", "POST"},
		})
	}
	document, err := json.Marshal(entry)
	assert.NilError(b, err)
	parsed, err := bulrushcatalogue.ParseService(document)
	assert.NilError(b, err)
	return parsed
}

func membersOf(service bulrushchute.Service) []bulrushchute.Instance {
	var members []bulrushchute.Instance
	for number := range membersPerService {
		members = append(members, bulrushchute.Instance{
			ID:         bulrushchute.InstanceID(fmt.Sprintf("%s/%d", service, number)),
			DataCentre: bulrushchute.DataCentre(fmt.Sprintf("dc-%d", number%4)),
			Service:    service, State: bulrushchute.StateReady, Slots: 10,
		})
	}
	return members
}

// BenchmarkEntryState measures the memory of an entry node that calls every
// service.
func BenchmarkEntryState(b *testing.B) {
	forServices(b, func(b *testing.B, count int) {
		self := bulrushchute.Instance{ID: "self", DataCentre: "dc-0"}
		var usedBytes uint64
		for b.Loop() {
			before := heapBytes()
			states := newServiceStates(self, Settings{}, bulrushchute.NewManualClock(0))
			for number := range count {
				view := bulrushboard.View{}.WithMembers(map[bulrushchute.Service][]bulrushchute.Instance{
					serviceName(number): membersOf(serviceName(number))})
				states.get(serviceName(number), 0).refresh(0, view, serviceName(number))
			}
			usedBytes = heapBytes() - before
			runtime.KeepAlive(states)
		}
		b.ReportMetric(float64(usedBytes)/float64(count), "B/service")
		b.ReportMetric(float64(usedBytes)/1e6, "MB")
	})
}

// BenchmarkCatalogueChange measures the change of one entry in a catalogue with
// eight routes per service, and the memory of the whole catalogue.
func BenchmarkCatalogueChange(b *testing.B) {
	forServices(b, func(b *testing.B, count int) {
		before := heapBytes()
		set := bulrushcatalogue.Set{}
		for number := range count {
			set = set.WithService(sampleEntry(b, number), 1)
		}
		usedBytes := heapBytes() - before
		document, err := json.Marshal(sampleEntry(b, 0))
		assert.NilError(b, err)
		version := uint64(1)
		for b.Loop() {
			version++
			entry, err := bulrushcatalogue.ParseService(document)
			assert.NilError(b, err)
			set = set.WithService(entry, version)
		}
		b.ReportMetric(float64(usedBytes)/float64(count), "B/service")
		b.ReportMetric(float64(len(document)), "B/document")
		runtime.KeepAlive(set)
	})
}

// BenchmarkEvidence measures collecting and encoding the evidence of one second,
// in which an admission node handles 178 requests.
func BenchmarkEvidence(b *testing.B) {
	move := bulrushcatalogue.Move{Generation: 1, FromVersion: "v1", ToVersion: "v2"}
	recorder := bulrushmove.NewRecorder("board", move)
	messageBytes := 0
	for b.Loop() {
		for request := range 178 {
			recorder.Observe(bulrushmove.Sample{Version: "v1", Route: "view", ElapsedMs: float64(1 + request%40)})
		}
		for _, report := range recorder.TakeReports(0) {
			data, err := cbor.Marshal(bulrushchute.Control{From: "127.0.0.1:7001/0123456789ab", Evidence: &report})
			assert.NilError(b, err)
			messageBytes = len(data)
		}
	}
	b.ReportMetric(float64(messageBytes), "B/message")
}
