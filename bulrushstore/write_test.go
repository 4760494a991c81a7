package bulrushstore_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushstore"
)

func Example() {
	store := bulrushstore.NewMemory()
	ctx := context.Background()
	event := bulrushchute.Object{Kind: bulrushchute.KindEvents, Name: "routes-7-completed", Value: []byte(`{"share":100}`)}
	_, created, _ := bulrushstore.CreateOnce(ctx, store, event, "node-a/1")
	fmt.Println(created)
	_, created, _ = bulrushstore.CreateOnce(ctx, store, event, "node-b/1")
	fmt.Println(created)
	lease := bulrushstore.NewLease(store, bulrushchute.WallClock{}, bulrushstore.LeaseSettings{Name: "moves-0", Holder: "node-a"})
	held, _ := lease.AcquireOrRenew(ctx)
	fmt.Println(held)
	// Output:
	// true
	// false
	// true
}

// Guards against several writers, or none, that count as the creator of an
// object after a response was lost. An event would be announced twice or never.
func TestCreateOnce(t *testing.T) {
	none := bulrushstore.Fault{}
	cases := map[string]struct {
		faults    []bulrushstore.Fault
		nameTaken bool
		created   bool
		class     string
	}{
		"created":                        {nil, false, true, "ok"},
		"name taken":                     {nil, true, false, "ok"},
		"response lost":                  {[]bulrushstore.Fault{faultResponseLost}, false, true, "ok"},
		"response lost, name taken":      {[]bulrushstore.Fault{faultResponseLost}, true, false, "ok"},
		"response lost, read-back fails": {[]bulrushstore.Fault{faultResponseLost, faultDown}, false, false, "ambiguous"},
		"down":                           {[]bulrushstore.Fault{faultDown}, false, false, "unavailable"},
		"response lost, stale read-back": {[]bulrushstore.Fault{faultResponseLost, {Kind: bulrushstore.FaultStaleRead}}, false, true, "ok"},
		"response and read-back lost":    {[]bulrushstore.Fault{faultResponseLost, faultResponseLost, none}, false, false, "ambiguous"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			memory := bulrushstore.NewMemory()
			if tc.nameTaken {
				_, err := memory.Create(t.Context(), object("event", `{"writer":"other"}`))
				assert.NilError(t, err)
			}
			memory.SetFaults(bulrushstore.ScriptedFaults(tc.faults...))
			_, created, err := bulrushstore.CreateOnce(t.Context(), memory, object("event", `{}`), "me")
			assert.Equal(t, errorClass(err), tc.class)
			assert.Equal(t, created, tc.created)
		})
	}
}

// Guards against a WriterField in a place that the catalogue parser rejects, and
// against a WriterOf that does not find the field set by WithWriter.
func TestWithWriter(t *testing.T) {
	cases := map[string]struct{ value, want string }{
		"top level":       {`{"n":1}`, `{"n":1,"writer":"me"}`},
		"replaced":        {`{"writer":"other"}`, `{"writer":"me"}`},
		"catalogue entry": {`{"change":{"by":"ann","writer":"other"},"n":1}`, `{"change":{"by":"ann","writer":"me"},"n":1}`},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			got, err := bulrushstore.WithWriter([]byte(tc.value), "me")
			assert.NilError(t, err)
			assert.Equal(t, string(got), tc.want)
			assert.Equal(t, bulrushstore.WriterOf(got), "me")
		})
	}
	for _, value := range []string{`[]`, `null`, `{"change":3}`} {
		_, err := bulrushstore.WithWriter([]byte(value), "me")
		assert.ErrorContains(t, err, "a JSON object")
	}
}

type counter struct {
	N      int    `json:"n"`
	Writer string `json:"writer,omitempty"`
}

func increment(current bulrushchute.Object) ([]byte, error) {
	var c counter
	if err := json.Unmarshal(current.Value, &c); err != nil {
		return nil, err
	}
	c.N++
	return json.Marshal(c)
}

// Guards against a change that is applied twice, or reported as applied when it
// was not, whichever requests and responses are lost.
func TestUpdateObjectAppliesOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		memory := bulrushstore.NewMemory()
		_, err := memory.Create(context.Background(), object("c", `{"n":0}`))
		assert.NilError(t, err)
		memory.SetFaults(bulrushstore.SeededFaults(rapid.Uint64().Draw(t, "seed"), bulrushstore.FaultRates{
			Down: 0.1, ResponseLost: 0.3, StaleRead: 0.2,
		}))
		certain, possible := 0, 0
		for n := range rapid.IntRange(1, 30).Draw(t, "updates") {
			_, err := bulrushstore.UpdateObject(context.Background(), memory, bulrushchute.KindServices, "c", fmt.Sprint(n), increment)
			switch errorClass(err) {
			case "ok":
				certain++
			case "ambiguous":
				possible++
			}
		}
		memory.SetFaults(nil)
		got, err := memory.Get(context.Background(), bulrushchute.KindServices, "c")
		assert.NilError(t, err)
		var c counter
		assert.NilError(t, json.Unmarshal(got.Value, &c))
		assert.Assert(t, c.N >= certain && c.N <= certain+possible, "counter is %d, want %d to %d", c.N, certain, certain+possible)
	})
}

// Guards against applying a change a second time after its response was lost and
// another writer has overwritten it.
func TestUpdateObjectOverwritten(t *testing.T) {
	memory := bulrushstore.NewMemory()
	_, err := memory.Create(t.Context(), object("c", `{"n":0}`))
	assert.NilError(t, err)
	calls := 0
	memory.SetFaults(bulrushstore.FaultFunc(func(call bulrushstore.Call) bulrushstore.Fault {
		calls++
		if calls == 2 {
			return faultResponseLost
		}
		if calls == 3 && call.Verb == bulrushstore.VerbGet {
			_, err := bulrushstore.UpdateObject(t.Context(), memory, call.Kind, call.Name, "other", increment)
			assert.Check(t, err)
		}
		return bulrushstore.Fault{}
	}))
	_, err = bulrushstore.UpdateObject(t.Context(), memory, bulrushchute.KindServices, "c", "me", increment)
	assert.Equal(t, errorClass(err), "ambiguous")
	got, err := memory.Get(t.Context(), bulrushchute.KindServices, "c")
	assert.NilError(t, err)
	assert.Equal(t, string(got.Value), `{"n":2,"writer":"other"}`)
}

// Guards against a change that stays ambiguous after a lost response although it
// can be read back, and against one that is applied again instead.
func TestUpdateObjectResolvesLostResponse(t *testing.T) {
	none := bulrushstore.Fault{}
	cases := map[string]struct {
		faults []bulrushstore.Fault
		class  string
		n      int
	}{
		"stored":                         {nil, "ok", 1},
		"down":                           {[]bulrushstore.Fault{none, faultDown}, "unavailable", 0},
		"response lost":                  {[]bulrushstore.Fault{none, faultResponseLost}, "ok", 1},
		"response lost, read-back fails": {[]bulrushstore.Fault{none, faultResponseLost, faultDown}, "ambiguous", 1},
		"response lost, stale read-back": {[]bulrushstore.Fault{none, faultResponseLost, {Kind: bulrushstore.FaultStaleRead}}, "ok", 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			memory := bulrushstore.NewMemory()
			_, err := memory.Create(t.Context(), object("c", `{"n":0}`))
			assert.NilError(t, err)
			memory.SetFaults(bulrushstore.ScriptedFaults(tc.faults...))
			_, err = bulrushstore.UpdateObject(t.Context(), memory, bulrushchute.KindServices, "c", "me", increment)
			assert.Equal(t, errorClass(err), tc.class)
			memory.SetFaults(nil)
			got, err := memory.Get(t.Context(), bulrushchute.KindServices, "c")
			assert.NilError(t, err)
			var c counter
			assert.NilError(t, json.Unmarshal(got.Value, &c))
			assert.Equal(t, c.N, tc.n)
		})
	}
}
