package main

import (
	"fmt"
	"time"
)

// playHealthPath moves a route to another service by a configuration that also brings in a
// service whose health path ends with a slash, and checks CONFIG.
func playHealthPath(w *world) (string, error) {
	const configS, contactS = 2 * time.Second, 3 * time.Second
	view := route{Name: "view", Host: "board.example", Prefix: "/view/", Kind: "idempotent", TimeoutMs: 1000, Objective: 500, Rank: 2, Service: "board", Attempts: 2}
	w.configure(1, []string{"board", "ledger"}, view)
	board := w.newNode("node-1", "north", "board")
	w.newNode("node-2", "north", "ledger")
	servers := make(map[string]*server)
	for _, n := range w.nodes {
		n.start()
		s := newServer(n, "i-"+n.name)
		servers[n.service] = s
		s.start()
	}
	for _, n := range w.nodes {
		if err := n.awaitReady(10 * time.Second); err != nil {
			return "", err
		}
	}
	time.Sleep(contactS)
	c := w.newClient(board, "GET", view.Host, "/view/1", 2*time.Second)
	stop, done := make(chan struct{}), make(chan struct{})
	go func() { c.sendSteadily(10, stop); close(done) }()
	time.Sleep(3 * time.Second)
	if w.trouble {
		w.healthPaths["archive"] = "/healthz/"
	}
	view.Service = "ledger"
	w.configure(2, []string{"board", "ledger", "archive"}, view)
	changedAt := time.Now()
	time.Sleep(12 * time.Second)
	close(stop)
	<-done
	late, old := 0, 0
	for _, a := range c.attempts {
		if a.sentAt.Sub(changedAt) <= configS {
			continue
		}
		late++
		if len(servers["board"].requestsOf(a.id)) > 0 {
			old++
		}
		w.record("client: sent %.3f s after the configuration, status %d, run by board %t, by ledger %t", a.sentAt.Sub(changedAt).Seconds(), a.status,
			len(servers["board"].requestsOf(a.id)) > 0, len(servers["ledger"].requestsOf(a.id)) > 0)
	}
	w.record("%d requests sent more than %v after the acknowledgement, %d of them run by the old service", late, configS, old)
	if late < 50 {
		return "", fmt.Errorf("only %d requests", late)
	}
	if old > 0 {
		return fmt.Sprintf("CONFIG: %d of %d requests sent more than %v after the acknowledgement of configuration 2 were run by the service of configuration 1", old, late, configS), nil
	}
	return "", nil
}
