package bulrushnode

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushquarantine"
)

// endCheckTimeout limits the dial that tells whether the backend server has ended.
// A server on the same instance accepts or refuses within a millisecond.
const endCheckTimeout = 250 * time.Millisecond

// maxLoggedContents is the number of contents in a log line.
const maxLoggedContents = 32

// serverEnd is what a node knows of the latest end of its backend server.
type serverEnd struct {
	// process is the announcement of the server process that ended last.
	process Announcement
	// awaited is set from the end of a server process until one announces itself.
	awaited bool
	// check is closed when the current check ends. It is nil when there is none.
	check chan struct{}
	// count is the number of ends since the start of the node.
	count int
}

// checkServerEnd finds out whether the loss of a connection means that the backend
// server has ended. It waits for the result, and until the nodes of the service know
// which requests are suspect. Requests whose connections are lost at the same time
// share one check.
func (a *admission) checkServerEnd(backend Announcement) bool {
	a.mutex.Lock()
	if !backend.sameProcess(a.backend) || backend.sameProcess(a.serverEnd.process) {
		ended := backend.sameProcess(a.serverEnd.process)
		a.mutex.Unlock()
		return ended
	}
	check := a.serverEnd.check
	if check == nil {
		check = make(chan struct{})
		a.serverEnd.check = check
		a.tasks.Start(a.context, "server end check", func(ctx context.Context) error {
			ended := refusesConnections(ctx, backend.Address)
			a.endServerCheck(backend, check, ended)
			return nil
		})
	}
	a.mutex.Unlock()
	<-check
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return backend.sameProcess(a.serverEnd.process)
}

// refusesConnections reports whether nothing listens at an address.
func refusesConnections(ctx context.Context, address bulrushchute.Address) bool {
	dialer := net.Dialer{Timeout: endCheckTimeout}
	connection, err := dialer.DialContext(ctx, "tcp", string(address))
	if err == nil {
		_ = connection.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

func (a *admission) endServerCheck(backend Announcement, check chan struct{}, ended bool) {
	defer close(check)
	if ended {
		a.recordServerEnd(backend)
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.serverEnd.check = nil
}

// recordServerEnd records that a backend server process has ended by itself, and
// stops announcing it.
func (a *admission) recordServerEnd(backend Announcement) {
	a.mutex.Lock()
	if !backend.sameProcess(a.backend) {
		a.mutex.Unlock()
		return
	}
	a.serverEnd.process = backend
	a.serverEnd.count++
	a.serverEnd.awaited = true
	announced := a.backend.State == BackendDraining
	a.mutex.Unlock()
	contents, trial := a.quarantine.recordEnd(backend.StartedAtMs, announced)
	klog.InfoS("backend server ended", "server", backend.Server, "version", backend.Version, "running", len(contents),
		"trial", trial != nil, "contents", shortenContents(contents))
	a.quarantine.publish()
}

func shortenContents(contents []bulrushquarantine.Content) []string {
	var texts []string
	for _, content := range contents[:min(len(contents), maxLoggedContents)] {
		texts = append(texts, content.String())
	}
	return texts
}

// ServerEndStatus states how often the backend server has ended by itself.
type ServerEndStatus struct {
	// Ends is the number of ends since the start of the node.
	Ends int `json:"ends"`
}

func (a *admission) serverEndStatus() ServerEndStatus {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return ServerEndStatus{Ends: a.serverEnd.count}
}
