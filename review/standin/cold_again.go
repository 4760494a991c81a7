package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

const (
	coldSpan = 3 * time.Second
	// coldBound is coldPerS x coldOverage + coldSlack of the deployment.
	coldBound = 12*1.5 + 5
)

// coldTime is a time in which a server was cold.
type coldTime struct {
	server *server
	from   time.Time
}

func init() { cases["cold-again"] = coldAgain }

// coldAgain has servers that do not tell their load become cold again under steady
// traffic. Their health responses say so at once, their heartbeats within heartbeatS.
func coldAgain(f *fleet, trouble bool) (verdict, error) {
	s, err := startSmall(f, hanga, func(sv *server) { sv.silent, sv.work = true, 210*time.Millisecond })
	if err != nil {
		return verdict{}, err
	}
	ctx, cancel := context.WithTimeout(f.ctx, 45*time.Second)
	defer cancel()
	for _, n := range f.nodes {
		file := f.newClient(n, "file", http.MethodPost, "file.example", "/file/repair", 2500*time.Millisecond)
		go f.newClient(n, "view", http.MethodGet, "view.example", "/view/open", 2*time.Second).run(ctx, 4)
		go file.run(ctx, 8)
		go func() {
			// The rate rises until the servers have shown what they can do.
			pause(ctx, 4*time.Second)
			file.run(ctx, 8)
		}()
	}
	pause(ctx, 8*time.Second)
	crashed := 0
	var times []coldTime
	for i := range 6 {
		n := f.nodes[1+i%2*2]
		sv := s.servers[n]
		ended := make(chan struct{}, 1)
		if trouble {
			sv.onCrash = func() { ended <- struct{}{} }
			times = append(times, coldTime{server: sv, from: time.Now()})
			sv.becomeCold(coldSpan)
		}
		select {
		case <-ended:
			crashed++
			if err := s.replace(n, 2*time.Second); err != nil {
				return verdict{}, err
			}
			pause(ctx, 4*time.Second)
		case <-time.After(coldSpan + 2700*time.Millisecond):
		}
	}
	<-ctx.Done()
	time.Sleep(3 * time.Second)
	worst, broken := 0, 0
	var latest time.Duration
	for _, cold := range times {
		most := f.busiestSecond(cold.server, cold.from, cold.from.Add(coldSpan))
		f.record.line("server %s, cold at %.3f s: %d requests in the busiest second", cold.server.id, cold.from.Sub(f.record.began).Seconds(), most)
		worst = max(worst, most)
		if float64(most) > coldBound {
			broken++
			latest = max(latest, cold.server.firstTold(cold.from))
		}
	}
	counts := pretty(f.counts(func(done result) bool { return done.kind == "file" }))
	return verdict{broken: broken > 0, summary: fmt.Sprintf("%d of %d cold times with more than %.0f requests in a second, %d at most; the health path had said so after %d ms at the latest; %d servers crashed, "+
		"%d filings that had run got no answer of theirs; filings by status %s",
		broken, len(times), coldBound, worst, latest.Milliseconds(), crashed, s.countLost(), counts)}, nil
}

// firstTold returns how long after a time a health response first said that the server is
// cold.
func (s *server) firstTold(from time.Time) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, at := range s.toldCold {
		if !at.Before(from) {
			return at.Sub(from)
		}
	}
	return coldSpan
}

// countLost returns the number of filings that ran at a server and whose clients got no
// answer of a server.
func (s *small) countLost() int {
	ran := make(map[string]bool)
	for _, sv := range s.all {
		for _, r := range sv.takenRuns() {
			ran[r.attempt] = true
		}
	}
	s.fleet.mutex.Lock()
	defer s.fleet.mutex.Unlock()
	lost := 0
	for _, done := range s.fleet.results {
		if done.kind == "file" && done.signature == "" && ran[done.attempt] {
			lost++
		}
	}
	return lost
}

// replace starts another server on a machine whose server has crashed.
func (s *small) replace(n *node, after time.Duration) error {
	former := s.servers[n]
	s.stops[n]()
	time.Sleep(after)
	next := newServer(s.fleet.record, former.id+"r", former.service, n.zone, n.app(), s.fleet.figures, former.work)
	next.silent = former.silent
	next.becomeCold(coldSpan)
	if err := next.start(); err != nil {
		return err
	}
	s.servers[n] = next
	s.all = append(s.all, next)
	ctx, cancel := context.WithCancel(s.fleet.ctx)
	s.stops[n] = cancel
	go next.beat(ctx, n.control(), always("ready"))
	return nil
}

// busiestSecond returns the most requests that were sent by their clients and arrived
// within the same second, between two times.
func (f *fleet) busiestSecond(sv *server, from, to time.Time) int {
	sentAt := make(map[string]time.Time)
	f.mutex.Lock()
	for _, done := range f.results {
		sentAt[done.attempt] = done.sentAt
	}
	f.mutex.Unlock()
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	var counted []arrival
	for _, a := range sv.arrivals {
		if sent, known := sentAt[a.attempt]; known && !sent.Before(from) && a.at.Before(to) {
			counted = append(counted, a)
		}
	}
	most := 0
	for _, first := range counted {
		begin, count := sentAt[first.attempt], 0
		for _, a := range counted {
			if !sentAt[a.attempt].Before(begin) && a.at.Before(begin.Add(time.Second)) {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}
