package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"
)

const (
	// clockStep is the dose of clock_step in the users' site file.
	clockStep = 2400 * time.Millisecond
	drain     = 2 * time.Second
	// servesOn is how long the server serves after its leaving was acknowledged.
	servesOn = 8 * time.Second
)

// clockBack has a server crash soon after its start and start again under its id. The time
// of day of its machine is ahead at the first start and right at the second.
func clockBack(w *world, trouble bool) (bool, error) {
	const service = "defect-board"
	var nodes []*node
	for i := range 2 {
		n, err := w.newNode(fmt.Sprintf("sidecar-%d", i+1), "tuul-north", service)
		if err != nil {
			return false, err
		}
		nodes = append(nodes, n)
	}
	w.putConfig(3, []string{service}, []route{{
		Name: "r-view", Host: "defects.example", Prefix: "/view/", Kind: "idempotent",
		TimeoutMs: 1000, AimMs: 500, Rank: 2, Service: service, Attempts: 2,
	}})
	for _, n := range nodes {
		if err := n.start(true); err != nil {
			return false, err
		}
	}
	other, err := nodes[1].startServer("i-2", time.Now().UnixMilli(), 50, 500)
	if err != nil {
		return false, err
	}
	go other.beats()
	for _, n := range nodes {
		if !n.awaitReady(20 * time.Second) {
			return false, errors.New("a node is not ready")
		}
	}
	time.Sleep(2 * time.Second)
	first, err := restart(w, nodes[0], trouble)
	if err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	var group sync.WaitGroup
	for i := range 8 {
		group.Add(1)
		go func() {
			defer group.Done()
			viewDefects(w, nodes[i%2], i, stop)
		}()
	}
	time.Sleep(6 * time.Second)
	first.setState("draining")
	if !first.beatOnce() {
		return false, errors.New("the leaving was not acknowledged")
	}
	acknowledged := time.Now()
	w.note("server i-1 says that it is draining, acknowledged")
	time.Sleep(servesOn)
	late := first.runsSince(acknowledged.Add(drain))
	close(stop)
	group.Wait()
	w.note("%d requests reached server i-1 later than drainS (2 s) after the acknowledgement", late)
	return late > 0, nil
}

// restart starts a server, which crashes after a second and is back 0.7 s later.
func restart(w *world, n *node, trouble bool) (*server, error) {
	born := time.Now()
	if trouble {
		born = born.Add(clockStep)
		w.note("the time of day of %s is ahead by %v", n.name, clockStep)
	}
	s, err := n.startServer("i-1", born.UnixMilli(), 50, 500)
	if err != nil {
		return nil, err
	}
	w.note("heartbeat of server i-1 acknowledged: %t", s.beatOnce())
	time.Sleep(time.Second)
	s.crash()
	if trouble {
		w.note("the time of day of %s jumps back", n.name)
	}
	time.Sleep(700 * time.Millisecond)
	s, err = n.startServer("i-1", time.Now().UnixMilli(), 50, 500)
	if err != nil {
		return nil, err
	}
	w.note("heartbeat of server i-1 acknowledged: %t", s.beatOnce())
	go s.beats()
	return s, nil
}

// viewDefects sends requests on a kept connection until stop is closed.
func viewDefects(w *world, n *node, client int, stop <-chan struct{}) {
	conn, err := net.DialTimeout("tcp", n.caller, time.Second)
	if err != nil {
		w.note("client %d: %v", client, err)
		return
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for i := 0; ; i++ {
		r := request{
			method: "GET", host: "defects.example", path: fmt.Sprintf("/view/%d/%d", client, i),
			id: fmt.Sprintf("%08x%08x", client, i), deadlineMs: 2000,
		}
		got := send(conn, reader, r, 0, 0)
		w.note("client %d, %s at %s: %s", client, r.id, n.name, got)
		if got.err != nil {
			return
		}
		select {
		case <-stop:
			return
		case <-time.After(150 * time.Millisecond):
		}
	}
}
