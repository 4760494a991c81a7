package bulrushstore_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushstore"
)

// implementations are the stores that must satisfy the same contract.
var implementations = map[string]func(t *testing.T, memory *bulrushstore.Memory) bulrushchute.Store{
	"memory": func(_ *testing.T, memory *bulrushstore.Memory) bulrushchute.Store { return memory },
	"http": func(t *testing.T, memory *bulrushstore.Memory) bulrushchute.Store {
		return newClient(t, bulrushstore.NewHandler(memory, bulrushstore.HandlerSettings{}))
	},
}

func newClient(t *testing.T, handler *bulrushstore.Handler) *bulrushstore.Client {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	client := bulrushstore.NewClient(bulrushstore.ClientSettings{BaseURL: server.URL})
	t.Cleanup(client.Close)
	return client
}

func object(name, value string) bulrushchute.Object {
	return bulrushchute.Object{Kind: bulrushchute.KindServices, Name: name, Value: []byte(value)}
}

// errorClass returns the class of an error, "ok" for nil.
func errorClass(err error) string {
	var (
		notFound    *bulrushchute.NotFoundError
		exists      *bulrushchute.ExistsError
		conflict    *bulrushchute.ConflictError
		unavailable *bulrushchute.UnavailableError
		ambiguous   *bulrushchute.AmbiguousError
		field       *bulrushchute.FieldError
		gone        *bulrushstore.GoneError
	)
	switch {
	case err == nil:
		return "ok"
	case errors.As(err, &notFound):
		return "not found"
	case errors.As(err, &exists):
		return "exists"
	case errors.As(err, &conflict):
		return "conflict"
	case errors.As(err, &unavailable):
		return "unavailable"
	case errors.As(err, &ambiguous):
		return "ambiguous"
	case errors.As(err, &field):
		return "field"
	case errors.As(err, &gone):
		return "gone"
	default:
		return err.Error()
	}
}

// contractCase is one call to a store that contains the object "kept".
type contractCase struct {
	fault bulrushstore.Fault
	call  func(ctx context.Context, store bulrushchute.Store, kept bulrushchute.Object) error
	// class is the errorClass of the expected result.
	class string
	// value is the value of "kept" after the call, "" if the object is absent.
	value string
}

const (
	oldValue = `{"n":1}`
	newValue = `{"n":2,"text":"<&> é"}`
)

func callGet(ctx context.Context, store bulrushchute.Store, kept bulrushchute.Object) error {
	_, err := store.Get(ctx, kept.Kind, kept.Name)
	return err
}

func callList(ctx context.Context, store bulrushchute.Store, kept bulrushchute.Object) error {
	_, _, err := store.List(ctx, kept.Kind)
	return err
}

func callCreate(ctx context.Context, store bulrushchute.Store, _ bulrushchute.Object) error {
	_, err := store.Create(ctx, object("fresh/ü", newValue))
	return err
}

func callCreateExisting(ctx context.Context, store bulrushchute.Store, kept bulrushchute.Object) error {
	_, err := store.Create(ctx, kept.WithValue([]byte(newValue)))
	return err
}

func callUpdate(ctx context.Context, store bulrushchute.Store, kept bulrushchute.Object) error {
	stored, err := store.Update(ctx, kept.WithValue([]byte(newValue)))
	if err == nil && stored.Version <= kept.Version {
		return errors.Errorf("version %d is not greater than the previous one", stored.Version)
	}
	return err
}

func callUpdateOldVersion(ctx context.Context, store bulrushchute.Store, kept bulrushchute.Object) error {
	kept.Version--
	return callUpdate(ctx, store, kept)
}

func callUpdateUnversioned(ctx context.Context, store bulrushchute.Store, kept bulrushchute.Object) error {
	kept.Version = 0
	return callUpdate(ctx, store, kept)
}

func callUpdateAbsent(ctx context.Context, store bulrushchute.Store, kept bulrushchute.Object) error {
	kept.Name = "absent"
	return callUpdate(ctx, store, kept)
}

func callUpdateTooLarge(ctx context.Context, store bulrushchute.Store, kept bulrushchute.Object) error {
	text := strings.Repeat("x", bulrushchute.MaxObjectBytes)
	_, err := store.Update(ctx, kept.WithValue([]byte(`"`+text+`"`)))
	return err
}

func callCreateLargest(ctx context.Context, store bulrushchute.Store, kept bulrushchute.Object) error {
	text := strings.Repeat("x", bulrushchute.MaxObjectBytes-2)
	_, err := store.Create(ctx, object("largest", `"`+text+`"`))
	if err != nil {
		return err
	}
	largest, err := store.Get(ctx, kept.Kind, "largest")
	if len(largest.Value) != bulrushchute.MaxObjectBytes {
		return errors.Errorf("read back %d bytes", len(largest.Value))
	}
	return err
}

func callDelete(ctx context.Context, store bulrushchute.Store, kept bulrushchute.Object) error {
	return store.Delete(ctx, kept)
}

func callDeleteOldVersion(ctx context.Context, store bulrushchute.Store, kept bulrushchute.Object) error {
	kept.Version--
	return store.Delete(ctx, kept)
}

var (
	faultDown         = bulrushstore.Fault{Kind: bulrushstore.FaultDown}
	faultResponseLost = bulrushstore.Fault{Kind: bulrushstore.FaultResponseLost}
	faultSlow         = bulrushstore.Fault{Kind: bulrushstore.FaultSlow, Delay: 1}
)

var contract = map[string]contractCase{
	"get":                      {call: callGet, class: "ok", value: oldValue},
	"list":                     {call: callList, class: "ok", value: oldValue},
	"create":                   {call: callCreate, class: "ok", value: oldValue},
	"create an existing name":  {call: callCreateExisting, class: "exists", value: oldValue},
	"update":                   {call: callUpdate, class: "ok", value: newValue},
	"update an old version":    {call: callUpdateOldVersion, class: "conflict", value: oldValue},
	"update without a version": {call: callUpdateUnversioned, class: "conflict", value: oldValue},
	"update an absent object":  {call: callUpdateAbsent, class: "not found", value: oldValue},
	"update over the limit":    {call: callUpdateTooLarge, class: "field", value: oldValue},
	"value at the limit":       {call: callCreateLargest, class: "ok", value: oldValue},
	"delete":                   {call: callDelete, class: "ok"},
	"delete an old version":    {call: callDeleteOldVersion, class: "conflict", value: oldValue},
	"slow update":              {call: callUpdate, fault: faultSlow, class: "ok", value: newValue},
	"get while down":           {call: callGet, fault: faultDown, class: "unavailable", value: oldValue},
	"list while down":          {call: callList, fault: faultDown, class: "unavailable", value: oldValue},
	"create while down":        {call: callCreate, fault: faultDown, class: "unavailable", value: oldValue},
	"update while down":        {call: callUpdate, fault: faultDown, class: "unavailable", value: oldValue},
	"delete while down":        {call: callDelete, fault: faultDown, class: "unavailable", value: oldValue},
	"get, response lost":       {call: callGet, fault: faultResponseLost, class: "unavailable", value: oldValue},
	"list, response lost":      {call: callList, fault: faultResponseLost, class: "unavailable", value: oldValue},
	"create, response lost":    {call: callCreate, fault: faultResponseLost, class: "ambiguous", value: oldValue},
	"update, response lost":    {call: callUpdate, fault: faultResponseLost, class: "ambiguous", value: newValue},
	"delete, response lost":    {call: callDelete, fault: faultResponseLost, class: "ambiguous"},
	"conflict, response lost":  {call: callUpdateOldVersion, fault: faultResponseLost, class: "ambiguous", value: oldValue},
}

// Guards against a store that reports that a write had no effect although it
// had one, or the reverse, and against differences between the two
// implementations.
func TestContract(t *testing.T) {
	for implementation, open := range implementations {
		for name, tc := range contract {
			t.Run(implementation+"/"+name, func(t *testing.T) {
				memory := bulrushstore.NewMemory()
				kept, err := memory.Create(t.Context(), object("kept", oldValue))
				assert.NilError(t, err)
				store := open(t, memory)
				memory.SetFaults(bulrushstore.ScriptedFaults(tc.fault))
				assert.Equal(t, errorClass(tc.call(t.Context(), store, kept)), tc.class)
				got, err := store.Get(t.Context(), kept.Kind, kept.Name)
				if tc.value == "" {
					assert.Equal(t, errorClass(err), "not found")
					return
				}
				assert.NilError(t, err)
				assert.Equal(t, string(got.Value), tc.value)
			})
		}
	}
}

// Guards against a stale read that returns a state which never existed.
func TestStaleRead(t *testing.T) {
	for implementation, open := range implementations {
		t.Run(implementation, func(t *testing.T) {
			memory := bulrushstore.NewMemory()
			store := open(t, memory)
			kept, err := store.Create(t.Context(), object("kept", oldValue))
			assert.NilError(t, err)
			_, err = store.Update(t.Context(), kept.WithValue([]byte(newValue)))
			assert.NilError(t, err)
			stale := bulrushstore.Fault{Kind: bulrushstore.FaultStaleRead}
			memory.SetFaults(bulrushstore.ScriptedFaults(stale, stale))
			got, err := store.Get(t.Context(), kept.Kind, kept.Name)
			assert.NilError(t, err)
			assert.Equal(t, got.Version, kept.Version)
			list, revision, err := store.List(t.Context(), kept.Kind)
			assert.NilError(t, err)
			assert.Equal(t, string(list[0].Value), oldValue)
			assert.Equal(t, revision, kept.Version)
		})
	}
}

// Guards against watches that miss, repeat or reorder changes, or that stay open
// while the store is down.
func TestWatch(t *testing.T) {
	for implementation, open := range implementations {
		t.Run(implementation, func(t *testing.T) {
			memory := bulrushstore.NewMemory()
			store := open(t, memory)
			ctx := t.Context()
			first, err := store.Create(ctx, object("a", oldValue))
			assert.NilError(t, err)
			_, revision, err := store.List(ctx, first.Kind)
			assert.NilError(t, err)
			second, err := store.Update(ctx, first.WithValue([]byte(newValue)))
			assert.NilError(t, err)

			events := make(chan string, 8)
			ended := make(chan error, 1)
			go func() {
				ended <- store.Watch(ctx, first.Kind, revision, func(event bulrushchute.StoreEvent) {
					events <- fmt.Sprintf("%s %d %s %t", event.Object.Name, event.Object.Version, event.Object.Value, event.Deleted)
				})
			}()
			assert.Equal(t, <-events, fmt.Sprintf("a %d %s false", second.Version, newValue))
			_, err = store.Create(ctx, bulrushchute.Object{Kind: bulrushchute.KindMoves, Name: "other", Value: []byte("1")})
			assert.NilError(t, err)
			assert.NilError(t, store.Delete(ctx, second))
			assert.Equal(t, <-events, fmt.Sprintf("a %d  true", second.Version+2))
			memory.SetDown(true)
			assert.Equal(t, errorClass(<-ended), "unavailable")
			assert.Equal(t, len(events), 0)
		})
	}
}

// Guards against a watch that silently skips changes which are no longer in the
// history.
func TestWatchGone(t *testing.T) {
	for implementation, open := range implementations {
		t.Run(implementation, func(t *testing.T) {
			memory := bulrushstore.NewMemory()
			memory.SetHistoryLength(2)
			store := open(t, memory)
			for n := range 4 {
				_, err := store.Create(t.Context(), object(fmt.Sprint(n), oldValue))
				assert.NilError(t, err)
			}
			unexpected := func(bulrushchute.StoreEvent) { t.Error("event from a watch of a compacted revision") }
			err := store.Watch(t.Context(), bulrushchute.KindServices, 1, unexpected)
			assert.Equal(t, errorClass(err), "gone")
			ctx, cancel := context.WithCancel(t.Context())
			seen := 0
			err = store.Watch(ctx, bulrushchute.KindServices, 2, func(bulrushchute.StoreEvent) {
				seen++
				if seen == 2 {
					cancel()
				}
			})
			assert.Equal(t, errorClass(err), "unavailable")
			assert.Equal(t, seen, 2)
		})
	}
}
