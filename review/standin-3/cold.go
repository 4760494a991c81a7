package main

import (
	"fmt"
	"os"
	"strconv"
	"time"
)

// playCold lets a server under load become cold without a restart, and checks FAILBACK.
func playCold(w *world) (string, error) {
	perS, _ := strconv.ParseFloat(os.Getenv("PERS"), 64)
	if perS == 0 {
		perS = 60
	}
	w.configure(1, []string{"board"}, route{Name: "view", Host: "board.example", Prefix: "/view/", Kind: "idempotent", TimeoutMs: 1000, Objective: 500, Rank: 2, Service: "board", Attempts: 2})
	n := w.newNode("node-1", "north", "board")
	n.start()
	s := newServer(n, "i-0001")
	if ms, err := strconv.Atoi(os.Getenv("WORK")); err == nil {
		s.work = time.Duration(ms) * time.Millisecond
	}
	s.reportsLoad = os.Getenv("NOLOAD") == ""
	s.start(false)
	if err := n.awaitReady(10 * time.Second); err != nil {
		return "", err
	}
	c := w.newClient(n, "GET", "board.example", "/view/1", 2*time.Second)
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() { c.sendSteadily(perS, stop); close(done) }()
	time.Sleep(8 * time.Second)
	if w.trouble {
		s.turnCold()
	}
	time.Sleep(4 * time.Second)
	close(stop)
	<-done
	w.record("client: answers by status %v", c.summary())
	return s.checkCold(), nil
}

// checkCold returns how often a second of the cold time had more requests than FAILBACK allows.
func (s *server) checkCold() string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	const allowed = coldPerS*coldOverage + coldSlack
	worst := 0
	for i := range s.arrivals {
		count := 0
		for j := i; j >= 0 && s.arrivals[j].cold && s.arrivals[i].at.Sub(s.arrivals[j].at) < time.Second; j-- {
			count++
		}
		worst = max(worst, count)
	}
	s.node.world.record("server: %d requests, at most %d in a second while cold, allowed %.1f", len(s.arrivals), worst, allowed)
	if float64(worst) > allowed {
		return fmt.Sprintf("FAILBACK: a cold server got %d requests in a second, allowed are %.1f", worst, allowed)
	}
	return ""
}
