package bulrushcatalogue

import (
	"bytes"

	"bulrushchute.example/bulrushchute"
)

const (
	// Every encoded table starts with the label, and its routes follow.
	labelPrefix  = `{"label":"`
	routesPrefix = `,"routes":[`
	// maxRoutes is the limit that RoutingTable states for its routes.
	maxRoutes = 20_000
)

// TableParser parses successive versions of a routing table. It parses only the routes
// that the previous version did not have, since most changes concern a few of them. The
// zero value is ready for use. It is not safe for concurrent use.
type TableParser struct {
	// routes holds the valid routes of the previous version by their encoding.
	routes map[string]parsedRoute
}

type parsedRoute struct {
	encoded string
	route   HostRoute
}

// Parse returns what ParseRouting returns. The targets of routes that did not change are
// shared with the previous table and must not be modified.
func (tp *TableParser) Parse(document []byte) (RoutingTable, error) {
	encodedRoutes, rest, ok := splitRoutes(document)
	if !ok || len(document) > bulrushchute.MaxObjectBytes {
		return ParseRouting(document)
	}
	table, ok := decodeCanonical[RoutingTable](rest)
	if !ok {
		return ParseRouting(document)
	}
	routes := make(map[string]parsedRoute, len(encodedRoutes))
	table.Routes = make([]HostRoute, 0, len(encodedRoutes))
	for _, encoded := range encodedRoutes {
		parsed, known := tp.routes[string(encoded)]
		if !known {
			if parsed.route, ok = decodeCanonical[HostRoute](encoded); !ok || checkTags(parsed.route) != nil {
				return ParseRouting(document)
			}
			parsed.encoded = string(encoded)
		}
		routes[parsed.encoded] = parsed
		table.Routes = append(table.Routes, parsed.route)
	}
	for i := range table.Services {
		table.Services[i] = table.Services[i].WithDefaults()
	}
	withoutRoutes := table
	withoutRoutes.Routes = nil
	if err := withoutRoutes.Validate(); err != nil {
		return table, err
	}
	if err := table.checkTargets(); err != nil {
		return table, err
	}
	tp.routes = routes
	return table, nil
}

// splitRoutes returns the encoded routes of a table, and the table without them. It
// returns false if the document does not start as an encoded table does. It does not
// check the routes and the rest, which must be valid by themselves.
func splitRoutes(document []byte) ([][]byte, []byte, bool) {
	if !bytes.HasPrefix(document, []byte(labelPrefix)) {
		return nil, nil, false
	}
	position := skipString(document, len(labelPrefix)-1)
	if !bytes.HasPrefix(document[position:], []byte(routesPrefix)) {
		return nil, nil, false
	}
	begin := position + len(routesPrefix)
	var routes [][]byte
	for position = begin; position < len(document) && document[position] == '{'; position++ {
		end := skipObject(document, position)
		if end == len(document) || len(routes) == maxRoutes {
			return nil, nil, false
		}
		routes = append(routes, document[position:end])
		if position = end; document[position] == ']' {
			rest := append(bytes.Clone(document[:begin]), document[position:]...)
			return routes, rest, true
		}
		if document[position] != ',' {
			return nil, nil, false
		}
	}
	return nil, nil, false
}

// skipObject returns the position after the object that starts at a position, or the
// length of the document if it does not end.
func skipObject(document []byte, position int) int {
	depth := 0
	for position < len(document) {
		switch document[position] {
		case '"':
			position = skipString(document, position)
			continue
		case '{':
			depth++
		case '}':
			depth--
		}
		position++
		if depth == 0 {
			return position
		}
	}
	return len(document)
}

// skipString returns the position after the string that starts at a position, or the
// length of the document if it does not end.
func skipString(document []byte, position int) int {
	for position++; position < len(document); position++ {
		switch document[position] {
		case '\\':
			position++
		case '"':
			return position + 1
		}
	}
	return len(document)
}
