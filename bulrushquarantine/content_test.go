package bulrushquarantine

import (
	"testing"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
)

func baseAttempt() bulrushchute.Attempt {
	return bulrushchute.Attempt{
		ID: bulrushchute.AttemptID{1}, Service: "board", Caller: "web", Tenant: "a", Method: "POST", Host: "h", Path: "/p?q=1", Body: []byte("b"),
	}
}

// Guards against a request that is refused because another one, of another caller
// for example, crashed servers.
func TestContentTellsRequestsApart(t *testing.T) {
	cases := map[string]func(*bulrushchute.Attempt){
		"service":      func(a *bulrushchute.Attempt) { a.Service = "ledger" },
		"caller":       func(a *bulrushchute.Attempt) { a.Caller = "app" },
		"organisation": func(a *bulrushchute.Attempt) { a.Tenant = "b" },
		"method":       func(a *bulrushchute.Attempt) { a.Method = "PUT" },
		"host":         func(a *bulrushchute.Attempt) { a.Host = "i" },
		"query":        func(a *bulrushchute.Attempt) { a.Path = "/p?q=2" },
		"body":         func(a *bulrushchute.Attempt) { a.Body = []byte("c") },
		"moved bytes":  func(a *bulrushchute.Attempt) { a.Path, a.Body = "/p?q=", []byte("1b") },
		"moved parts":  func(a *bulrushchute.Attempt) { a.Host, a.Path = "h/", "p?q=1" },
		"address":      func(a *bulrushchute.Attempt) { a.Host = "10.0.0.1:80" },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			changed := baseAttempt()
			change(&changed)
			assert.Assert(t, ContentOf(changed) != ContentOf(baseAttempt()))
		})
	}
}

// Guards against a request that is not recognised when it comes again: with another
// ID and deadline, for another server, or as a retry.
func TestContentIsTheSameAgain(t *testing.T) {
	again := baseAttempt()
	again.ID, again.RequestID, again.Target = bulrushchute.AttemptID{2}, "x", "n2"
	again.Deadline, again.Remaining, again.Retry, again.Insist = 5, 5, true, true
	again.Header = []bulrushchute.HeaderField{{Name: "User-Agent", Value: "v2"}}
	assert.Equal(t, ContentOf(again), ContentOf(baseAttempt()))
}

// Guards against a request that is not recognised at another node, because callers
// that name the service address the node itself.
func TestContentIsTheSameAtAnyNode(t *testing.T) {
	cases := map[string][2]string{
		"port":         {"site.example:80", "SITE.example"},
		"IPv4 address": {"10.0.0.1:8300", "10.0.0.2:8300"},
		"IPv6 address": {"[::1]:8300", "[::2]"},
	}
	for name, hosts := range cases {
		t.Run(name, func(t *testing.T) {
			first, second := baseAttempt(), baseAttempt()
			first.Host, second.Host = hosts[0], hosts[1]
			assert.Equal(t, ContentOf(first), ContentOf(second))
		})
	}
}

// BenchmarkContentOf measures what a request costs while some content is suspect or
// quarantined. It costs nothing at other times.
func BenchmarkContentOf(b *testing.B) {
	for name, size := range map[string]int{"no body": 0, "1.5 KB": 1500} {
		attempt := baseAttempt()
		attempt.Body = make([]byte, size)
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				ContentOf(attempt)
			}
		})
	}
}
