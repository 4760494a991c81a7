package main

import (
	"fmt"
	"time"
)

// playEvacuate evacuates a zone of a region whose name has an underscore, and checks EVAC.
func playEvacuate(w *world) (string, error) {
	const evacuateS, contactS = 5 * time.Second, 3 * time.Second
	if w.trouble {
		w.region = "mn_central"
	}
	w.configure(1, []string{"board"}, route{Name: "view", Host: "board.example", Prefix: "/view/", Kind: "idempotent", TimeoutMs: 1000, Objective: 500, Rank: 2, Service: "board", Attempts: 2})
	w.newNode("node-1", "tuul-south", "board")
	w.newNode("node-2", "tuul-north", "board")
	var servers []*server
	for _, n := range w.nodes {
		n.start()
		s := newServer(n, "i-"+n.name)
		servers = append(servers, s)
		s.start()
	}
	for _, n := range w.nodes {
		if err := n.awaitReady(10 * time.Second); err != nil {
			return "", err
		}
	}
	time.Sleep(contactS)
	var clients []*client
	stop, done := make(chan struct{}), make(chan struct{})
	for _, n := range w.nodes {
		c := w.newClient(n, "GET", "board.example", "/view/1", 2*time.Second)
		clients = append(clients, c)
		go func() { c.sendSteadily(10, stop); done <- struct{}{} }()
	}
	time.Sleep(3 * time.Second)
	w.store.put("evacuations", "tuul-north", map[string]any{})
	evacuatedAt := time.Now()
	w.record("operator: evacuation of tuul-north")
	time.Sleep(evacuateS + 6*time.Second)
	close(stop)
	for range clients {
		<-done
	}
	late := 0
	for _, a := range servers[1].arrivals {
		if a.at.Sub(evacuatedAt) > evacuateS {
			late++
		}
	}
	w.record("server of tuul-north: %d requests, %d of them later than %v after the evacuation", len(servers[1].arrivals), late, evacuateS)
	if late > 0 {
		return fmt.Sprintf("EVAC: %d requests reached the server of the evacuated zone later than %v after the acknowledgement", late, evacuateS), nil
	}
	return "", nil
}
