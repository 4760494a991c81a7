package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

func init() { cases["late-heartbeats"] = lateHeartbeats }

// lateHeartbeats lets a server leave. Two of its heartbeats arrive 3.5 s late, after the
// node that acknowledged its leaving was killed and started again.
func lateHeartbeats(f *fleet, trouble bool) (verdict, error) {
	s, err := startSmall(f, towpath, func(*server) {})
	if err != nil {
		return verdict{}, err
	}
	ctx, cancel := context.WithTimeout(f.ctx, 18*time.Second)
	defer cancel()
	for _, n := range f.nodes {
		if n == f.nodes[1] {
			continue
		}
		go f.newClient(n, "view", http.MethodGet, "view.example", "/view/open", 2*time.Second).run(ctx, 8)
		go f.newClient(n, "file", http.MethodPost, "file.example", "/file/repair", 2500*time.Millisecond).run(ctx, 4)
	}
	pause(ctx, 2*time.Second)
	n := f.nodes[1]
	leaving := s.servers[n]
	s.stops[n]()
	pause(ctx, 1500*time.Millisecond)
	var late []heartbeat
	for range 2 {
		hb := leaving.nextHeartbeat("ready")
		if trouble {
			late = append(late, hb)
		} else {
			announce(f.record, n.control(), "heartbeat", leaving.id, hb)
		}
		pause(ctx, 1500*time.Millisecond)
	}
	// This server never reports draining: it deregisters first and continues to serve.
	leaving.setLeaving()
	if !announce(f.record, n.control(), "deregister", leaving.id, map[string]int64{"born": leaving.born}) {
		return verdict{}, fmt.Errorf("the leaving was not acknowledged")
	}
	ackedAt := time.Now()
	if trouble {
		f.killNode(n)
		pause(ctx, 500*time.Millisecond)
		if err := f.startNode(n, false); err != nil {
			return verdict{}, err
		}
		pause(ctx, 500*time.Millisecond)
		for _, hb := range late {
			announce(f.record, n.control(), "heartbeat", leaving.id, hb)
			pause(ctx, time.Second)
		}
	}
	<-ctx.Done()
	leaving.stop()
	time.Sleep(2500 * time.Millisecond)
	return s.judgeDrain(n, ackedAt), nil
}

// judgeDrain applies DRAIN: nothing reaches the leaving server later than drainS after
// the acknowledgement, from machines in touch. The machine of the leaving server is in
// touch from contactS after the start of its node on.
func (s *small) judgeDrain(n *node, ackedAt time.Time) verdict {
	late, first := 0, ""
	from := ackedAt.Add(2 * time.Second)
	if inTouch := n.startedAt.Add(3 * time.Second); inTouch.After(from) {
		from = inTouch
	}
	runs := s.servers[n].takenRuns()
	for _, r := range runs {
		if r.at.After(from) {
			late++
			if first == "" {
				first = fmt.Sprintf("%s at %.1f s after the acknowledgement", r.attempt, r.at.Sub(ackedAt).Seconds())
			}
		}
	}
	counts := pretty(s.fleet.counts(func(result) bool { return true }))
	return verdict{broken: late > 0, summary: fmt.Sprintf("%d runs at the leaving server, %d of them too late (the first: %s); results by status %s", len(runs), late, first, counts)}
}
