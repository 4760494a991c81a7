package bulrushcatalogue

import (
	"slices"
	"strings"

	"bulrushchute.example/bulrushchute"
)

// Resolved is what an entry says about one request.
type Resolved struct {
	// Route is DefaultRouteName when no route matches.
	Route      string
	Idempotent bool
	Class      bulrushchute.Class
	TimeoutMs  bulrushchute.Millis
	// ObjectiveMs is the time within which an answer is worth most, 0 if unknown.
	ObjectiveMs bulrushchute.Millis
	// Attempts bounds the attempts of one request, 0 for the node's own bound.
	Attempts int
}

// Resolve finds the route of a request. The longest prefix that ends on a path
// segment wins; among equal prefixes, a route that lists the method wins over
// one that lists none. The path may carry a query, which is ignored.
//
// A backend server may read a path with dot segments, empty segments or
// percent encoding as another path. Such a path is matched as it stands, but
// the request then counts as idempotent only if its method is and no route of
// the service denies it.
func Resolve(entry ServiceEntry, method, path string) Resolved {
	path, _, _ = strings.Cut(path, "?")
	route := longestMatch(entry.Routes, method, path)
	resolved := Resolved{
		Route:      DefaultRouteName,
		Idempotent: IsIdempotentMethod(method),
		Class:      classOr(entry.Class, bulrushchute.ClassStandard),
		TimeoutMs:  entry.TimeoutMs,
	}
	setDefault(&resolved.TimeoutMs, DefaultTimeoutMs)
	if !isCanonicalRequestPath(path) {
		resolved.Idempotent = resolved.Idempotent && !deniesIdempotency(entry.Routes)
	} else if route != nil && route.Idempotent != nil {
		resolved.Idempotent = *route.Idempotent
	}
	if route == nil {
		return resolved
	}
	resolved.Route = route.Name
	resolved.Class = classOr(route.Class, resolved.Class)
	if route.TimeoutMs != 0 {
		resolved.TimeoutMs = route.TimeoutMs
	}
	return resolved
}

func deniesIdempotency(routes []Route) bool {
	for _, route := range routes {
		if route.Idempotent != nil && !*route.Idempotent {
			return true
		}
	}
	return false
}

// IsIdempotentMethod reports whether RFC 9110 (section 9.2.2) defines the
// method as idempotent. Other methods, extensions included, are not.
func IsIdempotentMethod(method string) bool {
	switch method {
	case "GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE":
		return true
	default:
		return false
	}
}

func longestMatch(routes []Route, method, path string) *Route {
	var best *Route
	for i := range routes {
		route := &routes[i]
		if !route.matches(method, path) {
			continue
		}
		if best == nil || route.outranks(best) {
			best = route
		}
	}
	return best
}

func (r *Route) matches(method, path string) bool {
	return hasSegmentPrefix(path, r.Prefix) && (len(r.Methods) == 0 || slices.Contains(r.Methods, method))
}

func (r *Route) outranks(other *Route) bool {
	if len(r.Prefix) != len(other.Prefix) {
		return len(r.Prefix) > len(other.Prefix)
	}
	return len(r.Methods) > 0 && len(other.Methods) == 0
}

func hasSegmentPrefix(path, prefix string) bool {
	if prefix == "/" {
		return true
	}
	return strings.HasPrefix(path, prefix) && (len(path) == len(prefix) || path[len(prefix)] == '/')
}

// isCanonicalPath reports whether a path has one spelling only.
func isCanonicalPath(path string) bool {
	if path == "/" {
		return true
	}
	return !strings.HasSuffix(path, "/") && isCanonicalRequestPath(path)
}

// isCanonicalRequestPath is isCanonicalPath but for a final slash.
func isCanonicalRequestPath(path string) bool {
	if !strings.HasPrefix(path, "/") || strings.ContainsAny(path, "?#%\\ ;") {
		return false
	}
	return !strings.Contains(path, "//") && !hasDotSegment(path)
}

func hasDotSegment(path string) bool {
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}

func classOr(name string, otherwise bulrushchute.Class) bulrushchute.Class {
	class, err := bulrushchute.ParseClass(name)
	if err != nil {
		return otherwise
	}
	return class
}
