package main

import (
	"context"
	"fmt"
	"time"
)

// small is the deployment of most cases: three servers of boards and two of ledgers in two zones,
// each with a node.
type small struct {
	fleet   *fleet
	servers map[*node]*server
	// all are the servers that were started.
	all   []*server
	stops map[*node]context.CancelFunc
}

const (
	boards  = "boards-k3f"
	ledgers = "ledgers-p9d"
)

func startSmall(f *fleet, figures deployment, prepare func(*server)) (*small, error) {
	s := &small{fleet: f, servers: make(map[*node]*server), stops: make(map[*node]context.CancelFunc)}
	f.figures = figures
	f.configure(7, []string{boards, ledgers},
		route{"r-view", "view.example", "/view/", "idempotent", boards, 2000, 500, 2},
		route{"r-file", "file.example", "/file/", "non_idempotent", ledgers, 2500, 600, 2})
	for i, service := range []string{boards, ledgers, boards, ledgers, boards} {
		f.addNode([]string{"north", "south"}[i/2%2], service)
	}
	for _, n := range f.nodes {
		if err := f.startNode(n, true); err != nil {
			return nil, err
		}
	}
	for i, n := range f.nodes {
		sv := newServer(f.record, fmt.Sprintf("i-%s%02d", f.names, i), n.service, n.zone, n.app(), figures, 50*time.Millisecond)
		prepare(sv)
		if err := sv.start(); err != nil {
			return nil, err
		}
		s.servers[n] = sv
		s.all = append(s.all, sv)
		ctx, cancel := context.WithCancel(f.ctx)
		s.stops[n] = cancel
		go sv.beat(ctx, n.control(), always("ready"))
	}
	time.Sleep(6 * time.Second)
	return s, f.awaitReady(4 * time.Second)
}
