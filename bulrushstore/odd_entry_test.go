package bulrushstore

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
)

// Guards against an odd entry that hides the others of its list, or stops a watch.
func TestOddEntryHidesTheOthers(t *testing.T) {
	cases := map[string]struct {
		item           string
		wantUnreadable bool
	}{
		"very deeply nested":  {`{"metadata":{"name":"odd","resourceVersion":"5"},"spec":` + strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000) + `}`, true},
		"another type":        {`{"kind":7,"metadata":{"name":"odd","resourceVersion":"5"},"spec":{}}`, true},
		"number out of range": {`{"metadata":{"name":"odd","resourceVersion":"5"},"spec":{"slots":1e999}}`, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			const good = `{"metadata":{"name":"good","resourceVersion":"6"},"spec":{}}`
			server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
				if request.URL.Query().Has("watch") {
					_, _ = fmt.Fprintf(writer, `{"type":"ADDED","object":%s}`+"\n"+`{"type":"DELETED","object":%s}`+"\n", tc.item, good)
					return
				}
				_, _ = fmt.Fprintf(writer, `{"metadata":{"resourceVersion":"9"},"items":[%s,%s]}`, tc.item, good)
			}))
			defer server.Close()
			client := NewClient(ClientSettings{BaseURL: server.URL})
			defer client.Close()
			objects, revision, err := client.List(t.Context(), bulrushchute.KindServices)
			assert.NilError(t, err)
			assert.Equal(t, revision, uint64(9))
			assert.Equal(t, len(objects), 2)
			assert.Equal(t, objects[0].Unreadable, tc.wantUnreadable)
			assert.Equal(t, objects[0].Name+objects[1].Name, "oddgood")
			var seen []bulrushchute.StoreEvent
			err = client.Watch(t.Context(), bulrushchute.KindServices, 4, func(event bulrushchute.StoreEvent) { seen = append(seen, event) })
			assert.ErrorIs(t, err, errWatchStreamEnded)
			last := seen[len(seen)-1]
			assert.Assert(t, last.Deleted && last.Object.Name == "good" && last.Object.Version == 6)
		})
	}
}
