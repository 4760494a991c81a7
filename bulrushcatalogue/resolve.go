package bulrushcatalogue

import (
	"slices"
	"strings"

	"bulrushchute.example/bulrushchute"
)

// RequestPolicy is the configuration that applies to one request.
type RequestPolicy struct {
	// Route is DefaultRouteName if no route matches.
	Route      string
	Idempotent bool
	Class      bulrushchute.Class
	TimeoutMs  bulrushchute.Millis
	// ObjectiveMs is the latency objective, the time within which an answer has
	// its full value to the caller, 0 if unknown.
	ObjectiveMs bulrushchute.Millis
	// Attempts limits the attempts of one request that may have run. If it is 0,
	// only bulrushattempt.MaxAttempts applies.
	Attempts int
	// Anonymous is set if the request needs no API key.
	Anonymous bool
}

// Resolve returns the policy of the route that matches a request. The longest
// prefix that ends at a segment boundary wins; among equal prefixes, a route
// that lists the method wins over one that lists none. A query in the path is
// ignored.
//
// A backend server may interpret a path with dot segments, empty segments or
// percent encoding as another path. Such a path is matched literally, but the
// request then counts as idempotent only if its method is idempotent and no
// route of the service is marked as not idempotent.
func Resolve(entry ServiceEntry, method, path string) RequestPolicy {
	path, _, _ = strings.Cut(path, "?")
	route := mostSpecificRoute(entry.Routes, method, path)
	policy := RequestPolicy{
		Route:      DefaultRouteName,
		Idempotent: IsIdempotentMethod(method),
		Class:      parseClassOr(entry.Class, bulrushchute.ClassStandard),
		TimeoutMs:  entry.TimeoutMs,
	}
	setDefault(&policy.TimeoutMs, DefaultTimeoutMs)
	if !isCanonicalRequestPath(path) {
		policy.Idempotent = policy.Idempotent && !hasNonIdempotentRoute(entry.Routes)
	} else if route != nil && route.Idempotent != nil {
		policy.Idempotent = *route.Idempotent
	}
	if route == nil {
		return policy
	}
	policy.Route = route.Name
	policy.Class = parseClassOr(route.Class, policy.Class)
	if route.TimeoutMs != 0 {
		policy.TimeoutMs = route.TimeoutMs
	}
	return policy
}

func hasNonIdempotentRoute(routes []Route) bool {
	for _, route := range routes {
		if route.Idempotent != nil && !*route.Idempotent {
			return true
		}
	}
	return false
}

// IsIdempotentMethod reports whether RFC 9110, section 9.2.2, defines the
// method as idempotent. All other methods, including extension methods, count
// as not idempotent.
func IsIdempotentMethod(method string) bool {
	switch method {
	case "GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE":
		return true
	default:
		return false
	}
}

func mostSpecificRoute(routes []Route, method, path string) *Route {
	var best *Route
	for i := range routes {
		route := &routes[i]
		if !route.matches(method, path) {
			continue
		}
		if best == nil || route.isMoreSpecific(best) {
			best = route
		}
	}
	return best
}

func (r *Route) matches(method, path string) bool {
	return hasSegmentPrefix(path, r.Prefix) && (len(r.Methods) == 0 || slices.Contains(r.Methods, method))
}

func (r *Route) isMoreSpecific(other *Route) bool {
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

// isCanonicalPath reports whether a path has no equivalent spelling.
func isCanonicalPath(path string) bool {
	if path == "/" {
		return true
	}
	return !strings.HasSuffix(path, "/") && isCanonicalRequestPath(path)
}

// isCanonicalRequestPath is like isCanonicalPath, but allows a trailing slash.
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

func parseClassOr(name string, fallback bulrushchute.Class) bulrushchute.Class {
	class, err := bulrushchute.ParseClass(name)
	if err != nil {
		return fallback
	}
	return class
}
