package bulrushkey_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushkey"
)

func Example() {
	settings := bulrushkey.DefaultSettings()
	key, _ := bulrushkey.ParseKey("0199c3a4-8b00-7000-8000-000000000001")
	permit := bulrushkey.Permit{At: key.MintTime(), IsHome: true, LeaseHeld: true, Since: key.MintTime()}
	table := bulrushkey.NewTable(settings)

	first := table.Begin(key.MintTime(), bulrushkey.Request{Key: key}, permit)
	fmt.Println(first.Kind == bulrushkey.DecisionRun)
	table.Complete(key.MintTime()+20, key, bulrushchute.Reply{Answer: &bulrushchute.Answer{Status: 201}})
	repeat := table.Begin(key.MintTime()+50, bulrushkey.Request{Key: key}, permit)
	fmt.Println(repeat.Reply.Answer.Status)
	// Output:
	// true
	// 201
}

// Guards against keys that need not contain a mint time, and against several
// texts for one key.
func TestParseKey(t *testing.T) {
	cases := map[string]struct {
		text string
		ok   bool
	}{
		"version 7":       {"0199c3a4-8b00-7abc-8000-000000000001", true},
		"upper case":      {"0199C3A4-8B00-7ABC-8000-000000000001", true},
		"version 4":       {"0199c3a4-8b00-4abc-8000-000000000001", false},
		"other variant":   {"0199c3a4-8b00-7abc-c000-000000000001", false},
		"without hyphens": {"0199c3a48b007abc8000000000000001", false},
		"in braces":       {"{0199c3a4-8b00-7abc-8000-000000000001}", false},
		"as a URN":        {"urn:uuid:0199c3a4-8b00-7abc-8000-000000000001", false},
		"empty":           {"", false},
		"free text":       {"repair-4711", false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			key, err := bulrushkey.ParseKey(tc.text)
			assert.Equal(t, err == nil, tc.ok)
			if tc.ok {
				assert.Equal(t, key.MintTime(), bulrushchute.Millis(0x0199c3a48b00))
			}
		})
	}
}

// Guards against keys that other UUID libraries read differently: the mint time
// must survive encoding and parsing, and the version must be 7.
func TestKeyMint(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		mint := bulrushchute.Millis(rapid.Int64Range(0, 1<<48-1).Draw(t, "mint"))
		key := bulrushkey.NewKey(mint, [10]byte(rapid.SliceOfN(rapid.Byte(), 10, 10).Draw(t, "random")))
		assert.Equal(t, key.MintTime(), mint)
		parsed, err := bulrushkey.ParseKey(key.String())
		assert.NilError(t, err)
		assert.Equal(t, parsed, key)
		assert.Equal(t, uuid.UUID(key).Version(), uuid.Version(7))
		assert.Assert(t, key.Partition() >= 0 && key.Partition() < bulrushkey.PartitionCount)
	})
}

func newMembers(count int) []bulrushkey.Member {
	name := func(n int) bulrushchute.InstanceID {
		return bulrushchute.InstanceID(uuid.NewSHA1(uuid.Nil, []byte{byte(n)}).String())
	}
	members := make([]bulrushkey.Member, count)
	for i := range members {
		members[i] = bulrushkey.Member{ID: name(i), DataCentre: "eu-west-1a", State: bulrushchute.StateReady}
		for k := range bulrushkey.MaxMonitors {
			monitor := bulrushkey.LeaseMonitor{ID: name(100 + 7*i + k), DataCentre: "eu-west-1a"}
			members[i].Neighbours = append(members[i].Neighbours, monitor)
		}
	}
	return members
}

// Guards against partitions without a home, epochs that do not increase, and
// homes without partitions, after any sequence of reassignments.
func TestKeyMapReassignment(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := newMembers(rapid.IntRange(2, 12).Draw(t, "members"))
		m, found := bulrushkey.NewKeyMap("ledger", members, 1_000)
		assert.Assert(t, found)
		for range rapid.IntRange(1, 10).Draw(t, "moves") {
			before, _ := json.Marshal(m)
			to := members[rapid.IntRange(0, len(members)-1).Draw(t, "to")]
			p := rapid.IntRange(0, bulrushkey.PartitionCount-1).Draw(t, "partition")
			_, old, _ := m.HomeOf(p)
			reassigned := m.WithHome(bulrushkey.Home{ID: to.ID, Monitors: to.Neighbours}, 500, p)
			home, assignment, _ := reassigned.HomeOf(p)
			assert.Equal(t, home.ID, to.ID)
			assert.Equal(t, assignment.Epoch, old.Epoch+1)
			assert.Assert(t, assignment.Since > old.Since)
			after, _ := json.Marshal(m)
			assert.Equal(t, string(after), string(before), "a key map is immutable")
			m = reassigned
		}
		object, err := m.Object()
		assert.NilError(t, err)
		parsed, err := bulrushkey.ParseMap(object)
		assert.NilError(t, err)
		assert.DeepEqual(t, parsed, m)
		encoded, err := m.WithVersion(9).EncodeCBOR()
		assert.NilError(t, err)
		decoded, err := bulrushkey.ParseCBOR(encoded)
		assert.NilError(t, err)
		assert.DeepEqual(t, decoded, m.WithVersion(9))
		total := 0
		for _, home := range m.Homes {
			count := len(m.PartitionsOf(home.ID))
			assert.Assert(t, count > 0)
			total += count
		}
		assert.Equal(t, total, bulrushkey.PartitionCount)
	})
}

// Guards against a first assignment that is uneven, or that depends on the order
// in which a node learned of the members.
func TestNewKeyMapIsEven(t *testing.T) {
	members := newMembers(12)
	m, _ := bulrushkey.NewKeyMap("ledger", members, 1_000)
	for _, member := range members {
		count := len(m.PartitionsOf(member.ID))
		assert.Assert(t, count == 5 || count == 6, "%d partitions", count)
	}
	members[0], members[11] = members[11], members[0]
	other, _ := bulrushkey.NewKeyMap("ledger", members, 1_000)
	assert.DeepEqual(t, other, m)
}

// Guards against a decoded map that would cause an index out of range, and
// against a stored map of another service.
func TestParseMapRejects(t *testing.T) {
	m, _ := bulrushkey.NewKeyMap("ledger", newMembers(2), 1_000)
	cases := map[string]func(m bulrushkey.KeyMap) bulrushkey.KeyMap{
		"other service":      func(m bulrushkey.KeyMap) bulrushkey.KeyMap { m.Service = "routes"; return m },
		"too few partitions": func(m bulrushkey.KeyMap) bulrushkey.KeyMap { m.Partitions = m.Partitions[1:]; return m },
		"home out of range":  func(m bulrushkey.KeyMap) bulrushkey.KeyMap { m.Homes = m.Homes[:1]; return m },
		"duplicate home ID":  func(m bulrushkey.KeyMap) bulrushkey.KeyMap { m.Homes[1].ID = m.Homes[0].ID; return m },
		"too many monitors": func(m bulrushkey.KeyMap) bulrushkey.KeyMap {
			m.Homes[0].Monitors = make([]bulrushkey.LeaseMonitor, 6)
			return m
		},
		"home without an ID": func(m bulrushkey.KeyMap) bulrushkey.KeyMap { m.Homes[0].ID = ""; return m },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			object, err := m.Object()
			assert.NilError(t, err)
			object.Value, err = json.Marshal(change(deepCopy(t, m)))
			assert.NilError(t, err)
			_, err = bulrushkey.ParseMap(object)
			assert.ErrorContains(t, err, "is not allowed")
			encoded, err := change(deepCopy(t, m)).EncodeCBOR()
			assert.NilError(t, err)
			_, err = bulrushkey.ParseCBOR(encoded)
			assert.Equal(t, err == nil, name == "other service", "the CBOR form contains no object name to compare with")
		})
	}
}

func deepCopy(t *testing.T, m bulrushkey.KeyMap) bulrushkey.KeyMap {
	encoded, err := m.EncodeCBOR()
	assert.NilError(t, err)
	fresh, err := bulrushkey.ParseCBOR(encoded)
	assert.NilError(t, err)
	return fresh
}

// BenchmarkKeyMapSize reports the encoded sizes of a key map with 12 homes.
func BenchmarkKeyMapSize(b *testing.B) {
	m, _ := bulrushkey.NewKeyMap("repair-ledger", newMembers(12), testNow)
	var text, binary []byte
	for b.Loop() {
		text, _ = json.Marshal(m)
		binary, _ = m.EncodeCBOR()
	}
	b.ReportMetric(float64(len(text)), "json_B")
	b.ReportMetric(float64(len(binary)), "cbor_B")
}
