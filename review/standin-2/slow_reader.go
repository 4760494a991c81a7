package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

const (
	// downloadBytes is the largest answer of a download of the users' sheets, and
	// downloadDeadlineMs the deadline of its clients.
	downloadBytes      = 540_000
	downloadDeadlineMs = 4000
	// readPause is how long a client that reads slowly does not read.
	readPause = 3100 * time.Millisecond
	downloads = 8
)

// slowReader has clients that pause while they read an answer, on kept connections.
func slowReader(w *world, trouble bool) (bool, error) {
	const service = "replayvault"
	var nodes []*node
	for i := range 2 {
		n, err := w.newNode(fmt.Sprintf("sidecar-%d", i+1), "guj-west-a", service)
		if err != nil {
			return false, err
		}
		nodes = append(nodes, n)
	}
	w.putConfig(3, []string{service}, []route{{
		Name: "r-replay", Host: "replay.example", Prefix: "/replay/", Kind: "idempotent",
		TimeoutMs: downloadDeadlineMs, AimMs: 1200, Rank: 2, Service: service, Attempts: 2,
	}})
	for _, n := range nodes {
		if err := n.start(true); err != nil {
			return false, err
		}
		s, err := n.startServer("i-"+n.name, time.Now().UnixMilli(), 97, downloadBytes)
		if err != nil {
			return false, err
		}
		go s.beats()
	}
	for _, n := range nodes {
		if !n.awaitReady(20 * time.Second) {
			return false, errors.New("a node is not ready")
		}
	}
	time.Sleep(8 * time.Second)
	var group sync.WaitGroup
	var mutex sync.Mutex
	cut := 0
	for i := range downloads {
		group.Add(1)
		go func() {
			defer group.Done()
			ended, err := download(w, nodes[i%2], i, trouble)
			mutex.Lock()
			defer mutex.Unlock()
			if err != nil {
				w.note("client %d: %v", i, err)
			}
			if ended {
				cut++
			}
		}()
	}
	group.Wait()
	w.note("%d of %d connections were closed before the whole answer, which servers had sent; more than 3 break LOST", cut, downloads)
	return cut > 3, nil
}

// download reads one answer at once and one with a pause, on the same connection. It
// reports whether the node closed the connection before the whole second answer.
func download(w *world, n *node, client int, trouble bool) (bool, error) {
	dialer := net.Dialer{Timeout: time.Second}
	conn, err := dialer.Dial("tcp", n.caller)
	if err != nil {
		return false, err
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for i := range 2 {
		r := request{
			method: "GET", host: "replay.example", path: fmt.Sprintf("/replay/%d", client),
			id: fmt.Sprintf("%08x%08x", client, i), deadlineMs: downloadDeadlineMs,
		}
		pause := time.Duration(0)
		if trouble && i == 1 {
			pause = readPause
		}
		w.note("client %d sends %s to %s, pause %v", client, r.id, n.name, pause)
		got := send(conn, reader, r, 64<<10, pause)
		w.note("client %d, %s: %s", client, r.id, got)
		if i == 1 && got.status == 200 && !got.whole && !errors.Is(got.err, os.ErrDeadlineExceeded) && got.err != io.EOF {
			return true, nil
		}
	}
	return false, nil
}
