package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

const (
	// repeatedShare is the share of answers that a faulty server repeats, and
	// faultySpan how long it does so.
	repeatedShare = 0.03
	faultySpan    = 5 * time.Second
)

func init() { cases["cold-repeated"] = coldRepeated }

// coldRepeated has servers that tell their load become cold again under steady traffic.
// With the trouble, they repeat a share of their answers meanwhile.
func coldRepeated(f *fleet, trouble bool) (verdict, error) {
	s, err := startSmall(f, hanga, func(sv *server) {
		sv.work, sv.faulty = 210*time.Millisecond, sv.service == ledgers
	})
	if err != nil {
		return verdict{}, err
	}
	ctx, cancel := context.WithTimeout(f.ctx, 80*time.Second)
	defer cancel()
	for _, n := range f.nodes {
		file := f.newClient(n, "file", http.MethodPost, "file.example", "/file/repair", 2500*time.Millisecond)
		go f.newClient(n, "view", http.MethodGet, "view.example", "/view/open", 2*time.Second).run(ctx, 4)
		go file.run(ctx, 8)
		go func() {
			pause(ctx, 4*time.Second)
			file.run(ctx, 8)
		}()
	}
	pause(ctx, 8*time.Second)
	var times []coldTime
	for range 12 {
		for _, n := range []*node{f.nodes[1], f.nodes[3]} {
			sv := s.servers[n]
			if trouble {
				sv.mutex.Lock()
				sv.faultyUntil = time.Now().Add(faultySpan)
				sv.mutex.Unlock()
			}
			times = append(times, coldTime{server: sv, from: time.Now()})
			sv.becomeCold(coldSpan)
		}
		pause(ctx, coldSpan+2700*time.Millisecond)
	}
	<-ctx.Done()
	time.Sleep(3 * time.Second)
	worst, broken := 0, 0
	for _, cold := range times {
		most := f.busiestSecond(cold.server, cold.from, cold.from.Add(coldSpan))
		f.record.line("server %s, cold at %.3f s: %d requests in the busiest second", cold.server.id, cold.from.Sub(f.record.began).Seconds(), most)
		worst = max(worst, most)
		if float64(most) > coldBound {
			broken++
		}
	}
	counts := pretty(f.counts(func(done result) bool { return done.kind == "file" }))
	return verdict{broken: broken > 0, summary: fmt.Sprintf("%d of %d cold times with more than %.0f requests in a second, %d at most; filings by status %s",
		broken, len(times), coldBound, worst, counts)}, nil
}
