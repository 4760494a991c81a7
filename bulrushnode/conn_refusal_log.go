package bulrushnode

import (
	"log"
	"strings"

	"k8s.io/klog/v2"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushlog"
)

const (
	// connRefusalLogRate, in lines per second, and connRefusalLogBurst limit the log
	// lines about refused connections, because anyone who can reach a listener
	// can cause them.
	connRefusalLogRate  = 1
	connRefusalLogBurst = 5
	// handshakePrefix is the prefix of net/http's message about a failed
	// handshake.
	handshakePrefix = "http: TLS handshake error from "
)

// connRefusalLog logs the refused connections of one listener, or those that this
// node dials, up to a rate limit, and counts the skipped lines.
type connRefusalLog struct {
	clock bulrushchute.Clock
	// listener is the name of the listener, empty for connections that this node
	// dials.
	listener string
	limiter  *bulrushlog.Limiter
}

func newConnRefusalLog(clock bulrushchute.Clock, listener string) *connRefusalLog {
	return &connRefusalLog{
		clock:    clock,
		listener: listener,
		limiter:  bulrushlog.NewLimiter(connRefusalLogRate, connRefusalLogBurst),
	}
}

// log logs one refused connection, with the number of lines skipped before it.
func (rl *connRefusalLog) log(remote, reason string) {
	skipped, allowed := rl.allow()
	if !allowed {
		return
	}
	fields := []any{"remote", remote, "reason", reason, "suppressed", skipped}
	if rl.listener == "" {
		klog.InfoS("connection to peer refused", fields...)
		return
	}
	klog.InfoS("connection refused", append([]any{"listener", rl.listener}, fields...)...)
}

func (rl *connRefusalLog) allow() (int, bool) {
	return rl.limiter.Allow(rl.clock.Now().Time())
}

// Write implements io.Writer for the error log of an http.Server, which reports
// failed handshakes nowhere else.
func (rl *connRefusalLog) Write(line []byte) (int, error) {
	text := strings.TrimSpace(string(line))
	detail, handshake := strings.CutPrefix(text, handshakePrefix)
	if !handshake {
		klog.ErrorS(nil, "http server error", "listener", rl.listener, "error", text)
		return len(line), nil
	}
	remote, reason, _ := strings.Cut(detail, ": ")
	rl.log(remote, reason)
	return len(line), nil
}

func (rl *connRefusalLog) logger() *log.Logger {
	return log.New(rl, "", 0)
}
