package bulrushcatalogue

import (
	"bytes"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
)

func ExampleTableParser() {
	var parser TableParser
	table := RoutingTable{
		Label:    "7",
		Services: []ServiceEntry{{Service: "board", Owner: "crews"}},
		Routes:   []HostRoute{{Name: "view", Host: "board.example", Prefix: "/", TimeoutMs: 1000, Targets: []Target{{Service: "board", Weight: 1}}}},
	}
	document, _ := table.Encode()
	parsed, err := parser.Parse(document)
	fmt.Println(parsed.Label, parsed.Routes[0].Name, err)
	// Output: 7 view <nil>
}

// parserTables returns versions of a table, each with a change to the one before.
func parserTables() map[string]RoutingTable {
	base := newTable("/a/", "/b\\\"]}/", "/é<&/")
	longer := newTable("/a/", "/b\\\"]}/", "/é<&/", "/c/")
	weights := newTable("/a/", "/b\\\"]}/")
	weights.Routes[0].Targets = []Target{{Service: "board", Weight: 3}, {Service: "board", Weight: 0.5}}
	label := newTable("/a/")
	label.Label = `a"],"routes":[{\`
	unknownService := newTable("/a/")
	unknownService.Routes[0].Targets[0].Service = "other"
	invalidRoute := newTable("/a/", "relative")
	noRoutes := newTable()
	noService := newTable("/a/")
	noService.Services = nil
	return map[string]RoutingTable{
		"base": base, "route added": longer, "weights": weights, "label": label, "tenants": tenantTable(),
		"unknown service": unknownService, "invalid route": invalidRoute, "no routes": noRoutes, "no service": noService,
	}
}

// Guards against a table that differs from what ParseRouting makes of the document,
// because parts of another version are reused.
func TestTableParserAgreesWithParseRouting(t *testing.T) {
	for previousName, previous := range parserTables() {
		for name, table := range parserTables() {
			t.Run(name+" after "+previousName, func(t *testing.T) {
				var parser TableParser
				first, err := previous.Encode()
				assert.NilError(t, err)
				_, _ = parser.Parse(first)
				document, err := table.Encode()
				assert.NilError(t, err)
				assertAgrees(t, &parser, document)
				assertAgrees(t, &parser, document)
			})
		}
	}
}

func assertAgrees(t *testing.T, parser *TableParser, document []byte) {
	t.Helper()
	got, gotErr := parser.Parse(document)
	want, wantErr := ParseRouting(document)
	assert.Equal(t, fmt.Sprint(gotErr), fmt.Sprint(wantErr), "%s", document[:min(len(document), 2000)])
	if wantErr == nil {
		assert.DeepEqual(t, got, want)
	}
}

// Guards against a change of one route that costs as much as the whole table.
func TestTableParserReusesRoutes(t *testing.T) {
	prefixes := make([]string, 1000)
	for i := range prefixes {
		prefixes[i] = fmt.Sprintf("/p%d/", i)
	}
	var parser TableParser
	table := newTable(prefixes...)
	document, err := table.Encode()
	assert.NilError(t, err)
	_, err = parser.Parse(document)
	assert.NilError(t, err)
	table.Routes[500].TimeoutMs++
	document, err = table.Encode()
	assert.NilError(t, err)
	whole := testing.AllocsPerRun(1, func() { _, _ = ParseRouting(document) })
	changed := testing.AllocsPerRun(1, func() { _, _ = parser.Parse(document) })
	assert.Assert(t, changed < whole/20, "%v allocations, %v for the whole table", changed, whole)
}

// Guards against a document that is accepted in parts but not as a whole, and the other
// way round: damaged at each byte, and cut off there.
func TestTableParserAgreesOnDamagedDocuments(t *testing.T) {
	document, err := newTable("/a/", "/b\\\"]}/").Encode()
	assert.NilError(t, err)
	var parser TableParser
	_, err = parser.Parse(document)
	assert.NilError(t, err)
	for i := range document {
		assertAgrees(t, &parser, document[:i])
		for _, replacement := range []byte(`"\{}[],: 0x`) {
			damaged := bytes.Clone(document)
			damaged[i] = replacement
			assertAgrees(t, &parser, damaged)
		}
	}
}

// Guards against a document that is too large and accepted, because each part of it is
// small.
func TestTableParserRejectsLargeDocuments(t *testing.T) {
	prefixes := make([]string, 10_000)
	for i := range prefixes {
		prefixes[i] = fmt.Sprintf("/p%d/", i)
	}
	document, err := newTable(prefixes...).Encode()
	assert.NilError(t, err)
	assert.Assert(t, len(document) > bulrushchute.MaxObjectBytes)
	var parser TableParser
	assertAgrees(t, &parser, document)
	_, err = parser.Parse(document)
	assert.ErrorType(t, err, (*bulrushchute.FieldError)(nil))
}
