package bulrushcommand_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
	"bulrushchute.example/bulrushchute/bulrushstore"
	"bulrushchute.example/bulrushchute/cmd/bulrushctl/bulrushcommand"
)

// rig is a stand-in store behind HTTP.
type rig struct {
	memory *bulrushstore.Memory
	url    string
	folder string
	clock  *bulrushchute.ManualClock
}

func newRig(t *testing.T) *rig {
	t.Helper()
	memory := bulrushstore.NewMemory()
	server := httptest.NewServer(bulrushstore.NewHandler(memory, bulrushstore.HandlerSettings{}))
	t.Cleanup(func() {
		memory.SetDown(true)
		server.Close()
	})
	return &rig{memory: memory, url: server.URL, folder: t.TempDir(), clock: bulrushchute.NewManualClock(1_800_000_000_000)}
}

// output is safe for concurrent use.
type output struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (o *output) Write(data []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buffer.Write(data)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buffer.String()
}

// result is what one run of the command left.
type result struct {
	status bulrushcommand.ExitStatus
	stdout string
	stderr string
}

func (r *rig) environment(operator string, stdout, stderr *output) bulrushcommand.Environment {
	environment := bulrushcommand.NewEnvironment()
	environment.Stdout, environment.Stderr, environment.Clock = stdout, stderr, r.clock
	variables := map[string]string{"BULRUSH_STORE": r.url, "BULRUSH_OPERATOR": operator}
	environment.Getenv = func(name string) string { return variables[name] }
	return environment
}

func (r *rig) run(operator string, arguments ...string) result {
	var stdout, stderr output
	status := bulrushcommand.Run(context.Background(), r.environment(operator, &stdout, &stderr), arguments)
	return result{status: status, stdout: stdout.String(), stderr: stderr.String()}
}

func (r *rig) file(t *testing.T, text string) string {
	t.Helper()
	return r.named(t, "catalogue.json", text)
}

func (r *rig) named(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(r.folder, name)
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// put stores a value past the command line, as another operator would.
func (r *rig) put(t *testing.T, kind bulrushchute.Kind, name, value string) {
	t.Helper()
	ctx := context.Background()
	object := bulrushchute.Object{Kind: kind, Name: name, Value: []byte(value)}
	current, err := r.memory.Get(ctx, kind, name)
	if err != nil {
		_, err = r.memory.Create(ctx, object)
	} else {
		_, err = r.memory.Update(ctx, current.WithValue(object.Value))
	}
	assert.Check(t, err)
}

func (r *rig) service(t *testing.T, name string) bulrushcatalogue.ServiceEntry {
	t.Helper()
	object, err := r.memory.Get(context.Background(), bulrushchute.KindServices, name)
	assert.NilError(t, err)
	entry, err := bulrushcatalogue.ParseService(object.Value)
	assert.NilError(t, err)
	return entry
}

func (r *rig) dataCentre(t *testing.T, name string) bulrushcatalogue.DataCentreEntry {
	t.Helper()
	object, err := r.memory.Get(context.Background(), bulrushchute.KindDataCentres, name)
	assert.NilError(t, err)
	entry, err := bulrushcatalogue.ParseDataCentre(object.Value)
	assert.NilError(t, err)
	return entry
}

// before runs an action once, before the first call with the verb takes effect.
func (r *rig) before(verb bulrushstore.Verb, action func()) {
	// The action calls the store too, so it must not wait for itself.
	var done atomic.Bool
	r.memory.SetFaults(bulrushstore.FaultFunc(func(call bulrushstore.Call) bulrushstore.Fault {
		if call.Verb == verb && done.CompareAndSwap(false, true) {
			action()
		}
		return bulrushstore.Fault{}
	}))
}

func decode[T any](t *testing.T, text string) T {
	t.Helper()
	var value T
	assert.NilError(t, json.Unmarshal([]byte(text), &value), "%s", text)
	return value
}

func encode(t *testing.T, value any) string {
	t.Helper()
	data, err := json.Marshal(value)
	assert.NilError(t, err)
	return string(data)
}
