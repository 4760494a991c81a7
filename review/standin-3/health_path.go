package main

import (
	"fmt"
	"time"
)

// playHealthPath moves a route to another service, whose health path ends with a slash, and
// checks CONFIG.
func playHealthPath(w *world) (string, error) {
	const configS, contactS = 2 * time.Second, 3 * time.Second
	view := route{Name: "view", Host: "board.example", Prefix: "/view/", Kind: "idempotent", TimeoutMs: 1000, Objective: 500, Rank: 2, Service: "board", Attempts: 2}
	w.configure(1, []string{"board"}, view)
	if w.trouble {
		w.healthPaths["archive"] = "/healthz/"
	}
	board := w.newNode("node-1", "north", "board")
	w.newNode("node-2", "north", "archive")
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
	view.Service = "archive"
	w.configure(2, []string{"board", "archive"}, view)
	changedAt := time.Now()
	time.Sleep(12 * time.Second)
	close(stop)
	<-done
	late, old, served := 0, 0, 0
	for _, a := range c.attempts {
		if a.sentAt.Sub(changedAt) <= configS {
			continue
		}
		late++
		if len(servers["board"].requestsOf(a.id)) > 0 {
			old++
		}
		if len(servers["archive"].requestsOf(a.id)) > 0 {
			served++
		}
		w.record("client: sent %.3f s after the configuration, status %d, run by board %t, by archive %t", a.sentAt.Sub(changedAt).Seconds(), a.status,
			len(servers["board"].requestsOf(a.id)) > 0, len(servers["archive"].requestsOf(a.id)) > 0)
	}
	w.record("%d requests sent more than %v after the acknowledgement, %d of them run by the old service", late, configS, old)
	if late < 50 || !w.trouble && served < late/2 {
		return "", fmt.Errorf("only %d requests, %d at the new service", late, served)
	}
	if old > 0 {
		return fmt.Sprintf("CONFIG: %d of %d requests sent more than %v after the acknowledgement of configuration 2 were run by the service of configuration 1", old, late, configS), nil
	}
	return "", nil
}
