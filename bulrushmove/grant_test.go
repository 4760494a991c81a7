package bulrushmove

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bulrushchute.example/bulrushchute"
)

// Guards against grants that together exceed the limit as instances come and go, and
// against a grant that is taken back although it may have been used.
func TestGrantsStayWithinTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var grants []Grant
		total := 0
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			var candidates []bulrushchute.InstanceID
			for i := range 5 {
				if rapid.Bool().Draw(t, "alive") {
					candidates = append(candidates, bulrushchute.InstanceID(fmt.Sprint("i", i)))
				}
			}
			total += rapid.IntRange(0, 30).Draw(t, "increase")
			enlarged := withGrants(grants, candidates, rapid.IntRange(1, 3).Draw(t, "wanted"), total)
			assert.Assert(t, totalGranted(enlarged) <= total)
			assert.Assert(t, len(candidates) == 0 || totalGranted(enlarged) == total)
			for i, grant := range grants {
				assert.Equal(t, enlarged[i].Instance, grant.Instance)
				assert.Assert(t, enlarged[i].Requests >= grant.Requests)
			}
			grants = enlarged
		}
	})
}

// Guards against a share that stays with instances that are gone, and against one
// that is spread over more instances than needed.
func TestGrantsFollowCandidates(t *testing.T) {
	cases := map[string]struct {
		grants     []Grant
		candidates []bulrushchute.InstanceID
		want       []Grant
	}{
		"first":             {nil, []bulrushchute.InstanceID{"a", "b", "c"}, []Grant{{"a", 5}, {"b", 5}}},
		"keeps canaries":    {[]Grant{{"c", 4}}, []bulrushchute.InstanceID{"a", "b", "c"}, []Grant{{"c", 7}, {"a", 3}}},
		"replaces lost":     {[]Grant{{"a", 4}, {"b", 2}}, []bulrushchute.InstanceID{"c"}, []Grant{{"a", 4}, {"b", 2}, {"c", 4}}},
		"none left":         {[]Grant{{"a", 4}}, nil, []Grant{{"a", 4}}},
		"nothing to permit": {[]Grant{{"a", 12}}, []bulrushchute.InstanceID{"b"}, []Grant{{"a", 12}}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			assert.DeepEqual(t, withGrants(tc.grants, tc.candidates, 2, 10), tc.want)
		})
	}
}

// Guards against requests beyond a grant, against a count that a new move inherits,
// and against a request that counts although it was not sent.
func TestQuota(t *testing.T) {
	var quota Quota
	for _, want := range []bool{true, true, false} {
		assert.Equal(t, quota.Take(1, 2), want)
	}
	quota.Return(1)
	assert.Assert(t, quota.Take(1, 2) && !quota.Take(1, 2))
	assert.Assert(t, quota.Take(1, 3), "an enlarged grant")
	assert.Assert(t, !quota.Take(2, 0) && quota.Take(2, 1))
	quota.Return(1)
	assert.Assert(t, !quota.Take(2, 1), "a late return of an earlier move")
}
