package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

func init() { cases["odd-heartbeat"] = oddHeartbeat }

// oddHeartbeat sends one heartbeat of another writer, with a service that the
// configuration does not name.
func oddHeartbeat(f *fleet, trouble bool) (verdict, error) {
	s, err := startSmall(f, towpath, func(*server) {})
	if err != nil {
		return verdict{}, err
	}
	ctx, cancel := context.WithTimeout(f.ctx, 12*time.Second)
	defer cancel()
	for _, n := range f.nodes {
		go f.newClient(n, "view", http.MethodGet, "view.example", "/view/open", 2*time.Second).run(ctx, 8)
		go f.newClient(n, "file", http.MethodPost, "file.example", "/file/repair", 2500*time.Millisecond).run(ctx, 4)
	}
	pause(ctx, 3*time.Second)
	if trouble {
		odd := f.nodes[0]
		announce(f.record, odd.control(), "heartbeat", "i-other", heartbeat{
			Service: "drawers-x1", Address: odd.app(), Zone: odd.zone, Version: "v1", Slots: 9, State: "ready", Sequence: 1,
			Born: time.Now().UnixMilli(),
		})
	}
	<-ctx.Done()
	time.Sleep(3 * time.Second)
	return s.judgeCallers(), nil
}

// judgeCallers applies UNASKED: the caller service of each run is that of the machine
// where the request began.
func (s *small) judgeCallers() verdict {
	f := s.fleet
	began := make(map[string]*node)
	byName := make(map[string]*node)
	for _, n := range f.nodes {
		byName[n.name] = n
	}
	f.mutex.Lock()
	for _, done := range f.results {
		began[done.attempt] = byName[done.node]
	}
	f.mutex.Unlock()
	total, wrong, first := 0, 0, ""
	for _, sv := range s.servers {
		for _, r := range sv.takenRuns() {
			total++
			from := began[r.attempt]
			if from != nil && r.caller != from.service {
				wrong++
				first = fmt.Sprintf("%s, sent at %s of %s, ran at %s with caller service %q", r.attempt, from.name, from.service, r.server, r.caller)
			}
		}
	}
	counts := pretty(f.counts(func(result) bool { return true }))
	return verdict{broken: wrong > 0, summary: fmt.Sprintf("%d runs, %d of them with a wrong caller service (one: %s); results by status %s", total, wrong, first, counts)}
}
