package bulrushquarantine

import (
	"testing"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
)

func server(id, dataCentre string, up bool) Server {
	return Server{Instance: bulrushchute.InstanceID(id), DataCentre: bulrushchute.DataCentre(dataCentre), Up: up}
}

// Guards against a trial that takes the last server of a service, or more than half
// of the servers of a data centre, and against one that never takes place.
func TestPlaceSparesServers(t *testing.T) {
	cases := map[string]struct {
		servers []Server
		after   bulrushchute.Millis
		want    []string
	}{
		"two of two up":             {[]Server{server("a1", "a", true), server("a2", "a", true)}, 0, []string{"a1", "a2"}},
		"one of two up":             {[]Server{server("a1", "a", true), server("a2", "a", false)}, 0, nil},
		"one of two up, for long":   {[]Server{server("a1", "a", true), server("a2", "a", false)}, returnTime, []string{"a1"}},
		"other data centre is full": {[]Server{server("a1", "a", true), server("a2", "a", false), server("b1", "b", true), server("b2", "b", true)}, 0, []string{"b1", "b2"}},
		"alone in its data centre":  {[]Server{server("a1", "a", true), server("a2", "a", false), server("b1", "b", true)}, 0, []string{"b1"}},
		"two of three up":           {[]Server{server("a1", "a", true), server("a2", "a", true), server("a3", "a", false)}, 0, nil},
		"last one":                  {[]Server{server("a1", "a", true), server("b1", "b", false)}, 0, nil},
		"only one":                  {[]Server{server("a1", "a", true)}, 0, []string{"a1"}},
		"none up":                   {[]Server{server("a1", "a", false)}, returnTime, nil},
		"no servers":                {nil, 0, nil},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			found := map[string]bool{}
			for number := range byte(100) {
				instance, placed := Place(t0+tc.after, content(number), Assessment{LastCrashAt: t0}, tc.servers)
				if placed {
					found[string(instance)] = true
				}
			}
			assert.Equal(t, len(found), len(tc.want), "%v", found)
			for _, id := range tc.want {
				assert.Assert(t, found[id], "%s not chosen", id)
			}
		})
	}
}
