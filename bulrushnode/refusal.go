package bulrushnode

import (
	"log"
	"strings"

	"k8s.io/klog/v2"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushlog"
)

const (
	// refusalsPerSecond and refusalBurst bound the log lines about refused
	// connections, because anyone who reaches a listener can cause them.
	refusalsPerSecond = 1
	refusalBurst      = 5
	// handshakePrefix begins net/http's message about a failed handshake.
	handshakePrefix = "http: TLS handshake error from "
)

// refusalLog logs refused connections of one kind, and counts those that it
// leaves out.
type refusalLog struct {
	clock bulrushchute.Clock
	// listener is empty for connections that this node dials.
	listener string
	budget   *bulrushlog.Limiter
}

func newRefusalLog(clock bulrushchute.Clock, listener string) *refusalLog {
	return &refusalLog{
		clock:    clock,
		listener: listener,
		budget:   bulrushlog.NewLimiter(refusalsPerSecond, refusalBurst),
	}
}

// refused logs one refusal, with the number of those left out before it.
func (l *refusalLog) refused(remote, reason string) {
	suppressed, allowed := l.allow()
	if !allowed {
		return
	}
	fields := []any{"remote", remote, "reason", reason, "suppressed", suppressed}
	if l.listener == "" {
		klog.InfoS("connection to peer refused", fields...)
		return
	}
	klog.InfoS("connection refused", append([]any{"listener", l.listener}, fields...)...)
}

func (l *refusalLog) allow() (int, bool) {
	return l.budget.Allow(l.clock.Now().Time())
}

// Write implements io.Writer for the errors of an http.Server, which reports
// failed handshakes only there.
func (l *refusalLog) Write(line []byte) (int, error) {
	text := strings.TrimSpace(string(line))
	detail, handshake := strings.CutPrefix(text, handshakePrefix)
	if !handshake {
		klog.ErrorS(nil, "http server error", "listener", l.listener, "error", text)
		return len(line), nil
	}
	remote, reason, _ := strings.Cut(detail, ": ")
	l.refused(remote, reason)
	return len(line), nil
}

func (l *refusalLog) logger() *log.Logger {
	return log.New(l, "", 0)
}
