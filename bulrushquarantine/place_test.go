package bulrushquarantine

import (
	"testing"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
)

func server(id, dataCentre string, up bool) Server {
	return Server{Instance: bulrushchute.InstanceID(id), DataCentre: bulrushchute.DataCentre(dataCentre), Up: up}
}

// spread returns servers in a data centre each, which are up or not.
func spread(up ...bool) []Server {
	var servers []Server
	for i, isUp := range up {
		name := string(rune('a' + i))
		servers = append(servers, server(name, name, isUp))
	}
	return servers
}

// Guards against a trial that takes the last server of a service, more than half of
// the servers of a data centre, or, when an earlier trial crashed one, more than half of
// those of the service, and against one that never takes place.
func TestPlaceSparesServers(t *testing.T) {
	cases := map[string]struct {
		servers []Server
		after   bulrushchute.Millis
		// trials is the number of crashes that ended a trial.
		trials int
		want   []string
	}{
		"two of two up":             {[]Server{server("a1", "a", true), server("a2", "a", true)}, 0, 0, []string{"a1", "a2"}},
		"one of two up":             {[]Server{server("a1", "a", true), server("a2", "a", false)}, 0, 0, nil},
		"one of two up, for long":   {[]Server{server("a1", "a", true), server("a2", "a", false)}, returnTime, 0, []string{"a1"}},
		"other data centre is full": {[]Server{server("a1", "a", true), server("a2", "a", false), server("b1", "b", true), server("b2", "b", true)}, 0, 0, []string{"b1", "b2"}},
		"alone in its data centre":  {[]Server{server("a1", "a", true), server("a2", "a", false), server("b1", "b", true)}, 0, 0, []string{"b1"}},
		"two of three up":           {[]Server{server("a1", "a", true), server("a2", "a", true), server("a3", "a", false)}, 0, 0, nil},
		"two of four up":            {spread(true, true, false, false), 0, 0, []string{"a", "b"}},
		"after a trial's crash":     {spread(true, true, false, false), 0, 1, nil},
		"half would stay up":        {spread(true, true, true, false), 0, 1, []string{"a", "b", "c"}},
		"a while after it":          {spread(true, true, false, false), returnTime, 1, []string{"a", "b"}},
		"last one":                  {[]Server{server("a1", "a", true), server("b1", "b", false)}, 0, 0, nil},
		"only one":                  {[]Server{server("a1", "a", true)}, 0, 0, []string{"a1"}},
		"none up":                   {[]Server{server("a1", "a", false)}, returnTime, 0, nil},
		"no servers":                {nil, 0, 0, nil},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			found := map[string]bool{}
			for number := range byte(100) {
				instance, placed := Place(t0+tc.after, content(number), Assessment{LastCrashAt: t0, Trials: tc.trials}, tc.servers)
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
