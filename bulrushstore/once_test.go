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
	held, _ := lease.Step(ctx)
	fmt.Println(held)
	// Output:
	// true
	// false
	// true
}

// Guards against a lost answer that makes one writer announce twice, or none.
func TestCreateOnce(t *testing.T) {
	none := bulrushstore.Fault{}
	cases := map[string]struct {
		faults  []bulrushstore.Fault
		taken   bool
		created bool
		class   string
	}{
		"created":                       {nil, false, true, "ok"},
		"name taken":                    {nil, true, false, "ok"},
		"answer lost":                   {[]bulrushstore.Fault{faultLost}, false, true, "ok"},
		"answer lost, name taken":       {[]bulrushstore.Fault{faultLost}, true, false, "ok"},
		"answer lost, read back fails":  {[]bulrushstore.Fault{faultLost, faultDown}, false, false, "ambiguous"},
		"down":                          {[]bulrushstore.Fault{faultDown}, false, false, "unavailable"},
		"answer lost, read back stale":  {[]bulrushstore.Fault{faultLost, {Kind: bulrushstore.FaultStaleRead}}, false, true, "ok"},
		"lost after slow, lost reading": {[]bulrushstore.Fault{faultLost, faultLost, none}, false, false, "ambiguous"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			memory := bulrushstore.NewMemory()
			if tc.taken {
				_, err := memory.Create(t.Context(), object("event", `{"writer":"other"}`))
				assert.NilError(t, err)
			}
			memory.SetFaults(bulrushstore.ScriptedFaults(tc.faults...))
			_, created, err := bulrushstore.CreateOnce(t.Context(), memory, object("event", `{}`), "me")
			assert.Equal(t, classOf(err), tc.class)
			assert.Equal(t, created, tc.created)
		})
	}
}

// Guards against a writer in a place that the catalogue's parser refuses, and
// against one that is not found where it was put.
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

// Guards against a change that is applied twice, or reported as applied when
// it was not, whatever is lost on the way.
func TestUpdateObjectAppliesOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		memory := bulrushstore.NewMemory()
		_, err := memory.Create(context.Background(), object("c", `{"n":0}`))
		assert.NilError(t, err)
		memory.SetFaults(bulrushstore.SeededFaults(rapid.Uint64().Draw(t, "seed"), bulrushstore.FaultRates{
			Down: 0.1, AnswerLost: 0.3, StaleRead: 0.2,
		}))
		certain, possible := 0, 0
		for n := range rapid.IntRange(1, 30).Draw(t, "updates") {
			_, err := bulrushstore.UpdateObject(context.Background(), memory, bulrushchute.KindServices, "c", fmt.Sprint(n), increment)
			switch classOf(err) {
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
		assert.Assert(t, c.N >= certain && c.N <= certain+possible, "%d of %d to %d", c.N, certain, certain+possible)
	})
}

// Guards against a second application when another writer overwrote the first,
// whose answer was lost.
func TestUpdateObjectOverwritten(t *testing.T) {
	memory := bulrushstore.NewMemory()
	_, err := memory.Create(t.Context(), object("c", `{"n":0}`))
	assert.NilError(t, err)
	calls := 0
	memory.SetFaults(bulrushstore.FaultFunc(func(call bulrushstore.Call) bulrushstore.Fault {
		calls++
		if calls == 2 {
			return faultLost
		}
		if calls == 3 && call.Verb == bulrushstore.VerbGet {
			_, err := bulrushstore.UpdateObject(t.Context(), memory, call.Kind, call.Name, "other", increment)
			assert.Check(t, err)
		}
		return bulrushstore.Fault{}
	}))
	_, err = bulrushstore.UpdateObject(t.Context(), memory, bulrushchute.KindServices, "c", "me", increment)
	assert.Equal(t, classOf(err), "ambiguous")
	got, err := memory.Get(t.Context(), bulrushchute.KindServices, "c")
	assert.NilError(t, err)
	assert.Equal(t, string(got.Value), `{"n":2,"writer":"other"}`)
}

// Guards against a change whose lost answer stays unsettled although it could
// be read back, and against one that is repeated instead.
func TestUpdateObjectSettles(t *testing.T) {
	none := bulrushstore.Fault{}
	cases := map[string]struct {
		faults []bulrushstore.Fault
		class  string
		n      int
	}{
		"stored":                       {nil, "ok", 1},
		"down":                         {[]bulrushstore.Fault{none, faultDown}, "unavailable", 0},
		"answer lost":                  {[]bulrushstore.Fault{none, faultLost}, "ok", 1},
		"answer lost, read back fails": {[]bulrushstore.Fault{none, faultLost, faultDown}, "ambiguous", 1},
		"answer lost, read back stale": {[]bulrushstore.Fault{none, faultLost, {Kind: bulrushstore.FaultStaleRead}}, "ok", 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			memory := bulrushstore.NewMemory()
			_, err := memory.Create(t.Context(), object("c", `{"n":0}`))
			assert.NilError(t, err)
			memory.SetFaults(bulrushstore.ScriptedFaults(tc.faults...))
			_, err = bulrushstore.UpdateObject(t.Context(), memory, bulrushchute.KindServices, "c", "me", increment)
			assert.Equal(t, classOf(err), tc.class)
			memory.SetFaults(nil)
			got, err := memory.Get(t.Context(), bulrushchute.KindServices, "c")
			assert.NilError(t, err)
			var c counter
			assert.NilError(t, json.Unmarshal(got.Value, &c))
			assert.Equal(t, c.N, tc.n)
		})
	}
}
