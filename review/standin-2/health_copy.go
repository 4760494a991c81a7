package main

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

const (
	// faultyServers of serverCount send a second copy of extraShare of their answers,
	// extraSpells times for extraTime: the doses of garble (extra late) in the users' site file.
	serverCount   = 5
	faultyServers = 3
	extraShare    = 0.03
	extraTime     = 5 * time.Second
	extraSpells   = 5
	// shedShare is the share of all requests, health checks too, that a server rejects.
	shedShare = 0.2
	filers    = 50
)

// healthCopy has some servers send second copies of some answers, late, while
// clients file repairs. The servers reject a share of all that arrives, health checks like any other request.
func healthCopy(w *world, trouble bool) (bool, error) {
	const service = "repair-ledger"
	runs := &ledger{runs: make(map[string][]string)}
	var nodes []*node
	for i := range serverCount {
		n, err := w.newNode(fmt.Sprintf("sidecar-%d", i+1), "tuul-north", service)
		if err != nil {
			return false, err
		}
		nodes = append(nodes, n)
	}
	w.putConfig(3, []string{service}, []route{{
		Name: "r-signoff", Host: "repairs.example", Prefix: "/signoff/", Kind: "non_idempotent",
		TimeoutMs: 1200, AimMs: 600, Rank: 1, Service: service, Attempts: 2,
	}})
	var servers []*garblingServer
	for i, n := range nodes {
		if err := n.start(true); err != nil {
			return false, err
		}
		g, err := n.startGarblingServer(runs, fmt.Sprintf("i-%d", i+1), 100, shedShare)
		if err != nil {
			return false, err
		}
		servers = append(servers, g)
		go g.beats(time.Now().UnixMilli())
	}
	for _, n := range nodes {
		if !n.awaitReady(20 * time.Second) {
			return false, errors.New("a node is not ready")
		}
	}
	time.Sleep(8 * time.Second)
	stop := time.Now().Add(extraSpells*extraTime*3/2 + 2*time.Second)
	var group sync.WaitGroup
	results := make([]map[string]result, filers)
	for i := range results {
		group.Add(1)
		go func() {
			defer group.Done()
			results[i] = fileRepairs(w, nodes[i%serverCount], i, stop)
		}()
	}
	time.Sleep(2 * time.Second)
	for range extraSpells {
		for _, g := range servers[:faultyServers] {
			if trouble {
				w.note("server %s sends a second copy of %v of its answers", g.id, extraShare)
				g.setExtraShare(extraShare)
			}
		}
		time.Sleep(extraTime)
		for _, g := range servers[:faultyServers] {
			g.setExtraShare(0)
		}
		time.Sleep(extraTime / 2)
	}
	group.Wait()
	time.Sleep(500 * time.Millisecond)
	for _, g := range servers {
		w.note("server %s: %d answers, %d second copies, %d health checks rejected", g.id, g.answers, g.extras, g.healthRefused)
	}
	return judgeRuns(w, runs, results), nil
}

// fileRepairs sends requests that must not run twice, on a kept connection.
func fileRepairs(w *world, n *node, client int, stop time.Time) map[string]result {
	results := make(map[string]result)
	var conn net.Conn
	var reader *bufio.Reader
	for i := 0; time.Now().Before(stop); i++ {
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp", n.caller, time.Second); err != nil {
				w.note("client %d: %v", client, err)
				return results
			}
			reader = bufio.NewReader(conn)
		}
		r := request{
			method: "POST", host: "repairs.example", path: fmt.Sprintf("/signoff/%d", client),
			id: fmt.Sprintf("%08x%08x", client, i), deadlineMs: 2500, body: fmt.Sprintf("repair %d of client %d", i, client),
		}
		got := send(conn, reader, r, 0, 0)
		results[r.id] = got
		w.note("client %d, %s at %s: %s", client, r.id, n.name, got)
		if got.err != nil {
			_ = conn.Close()
			conn = nil
		}
		time.Sleep(time.Duration(100+rand.IntN(200)) * time.Millisecond)
	}
	return results
}

// judgeRuns reports whether a request ran although its client was told that it had not. It
// also counts those that ran more than once.
func judgeRuns(w *world, runs *ledger, results []map[string]result) bool {
	twice, refused, sent := 0, 0, 0
	for _, of := range results {
		for id, got := range of {
			sent++
			ran := runs.of(id)
			if len(ran) > 1 {
				twice++
				w.note("TWICE: %s ran at %v; the client got status %d", id, ran, got.status)
			}
			if len(ran) > 0 && (got.status == 503 || got.status == 429) {
				refused++
				w.note("REFUSED: %s ran at %v; the client got status %d", id, ran, got.status)
			}
		}
	}
	w.note("%d requests: %d ran more than once, %d ran and were answered 429 or 503", sent, twice, refused)
	return refused > 0
}
