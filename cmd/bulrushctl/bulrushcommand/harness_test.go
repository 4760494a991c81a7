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

// harness runs commands against an in-memory store that is served over HTTP.
type harness struct {
	store    *bulrushstore.Memory
	storeURL string
	dir      string
	clock    *bulrushchute.ManualClock
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	store := bulrushstore.NewMemory()
	server := httptest.NewServer(bulrushstore.NewHandler(store, bulrushstore.HandlerSettings{}))
	t.Cleanup(func() {
		store.SetDown(true)
		server.Close()
	})
	return &harness{store: store, storeURL: server.URL, dir: t.TempDir(), clock: bulrushchute.NewManualClock(1_800_000_000_000)}
}

// syncBuffer is a buffer that is safe for concurrent use.
type syncBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *syncBuffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(data)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// result is the exit status and output of one command.
type result struct {
	status bulrushcommand.ExitStatus
	stdout string
	stderr string
}

func (h *harness) environment(operator string, stdout, stderr *syncBuffer) bulrushcommand.Environment {
	environment := bulrushcommand.NewEnvironment()
	environment.Stdout, environment.Stderr, environment.Clock = stdout, stderr, h.clock
	variables := map[string]string{"BULRUSH_STORE": h.storeURL, "BULRUSH_OPERATOR": operator}
	environment.Getenv = func(name string) string { return variables[name] }
	return environment
}

func (h *harness) run(operator string, arguments ...string) result {
	var stdout, stderr syncBuffer
	status := bulrushcommand.Run(context.Background(), h.environment(operator, &stdout, &stderr), arguments)
	return result{status: status, stdout: stdout.String(), stderr: stderr.String()}
}

func (h *harness) writeCatalogue(t *testing.T, text string) string {
	t.Helper()
	return h.writeFile(t, "catalogue.json", text)
}

func (h *harness) writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(h.dir, name)
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// put stores a value directly, without a command. It sets up the store or acts as
// a concurrent write by another operator.
func (h *harness) put(t *testing.T, kind bulrushchute.Kind, name, value string) {
	t.Helper()
	ctx := context.Background()
	object := bulrushchute.Object{Kind: kind, Name: name, Value: []byte(value)}
	current, err := h.store.Get(ctx, kind, name)
	if err != nil {
		_, err = h.store.Create(ctx, object)
	} else {
		_, err = h.store.Update(ctx, current.WithValue(object.Value))
	}
	assert.Check(t, err)
}

func (h *harness) service(t *testing.T, name string) bulrushcatalogue.ServiceEntry {
	t.Helper()
	object, err := h.store.Get(context.Background(), bulrushchute.KindServices, name)
	assert.NilError(t, err)
	entry, err := bulrushcatalogue.ParseService(object.Value)
	assert.NilError(t, err)
	return entry
}

func (h *harness) dataCentre(t *testing.T, name string) bulrushcatalogue.DataCentreEntry {
	t.Helper()
	object, err := h.store.Get(context.Background(), bulrushchute.KindDataCentres, name)
	assert.NilError(t, err)
	entry, err := bulrushcatalogue.ParseDataCentre(object.Value)
	assert.NilError(t, err)
	return entry
}

// beforeFirst runs an action once, before the first call with the verb takes
// effect. It replaces the faults that are set on the store.
func (h *harness) beforeFirst(verb bulrushstore.Verb, action func()) {
	// The action itself calls the store, so running it in a sync.Once would
	// deadlock.
	var ran atomic.Bool
	h.store.SetFaults(bulrushstore.FaultFunc(func(call bulrushstore.Call) bulrushstore.Fault {
		if call.Verb == verb && ran.CompareAndSwap(false, true) {
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
