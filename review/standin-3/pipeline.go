package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// pipelined is a request that a client sends together with others on one connection.
type pipelined struct {
	id     string
	method string
	host   string
	path   string
	sentAt time.Time
	status int
}

// sendPipelined sends requests on a new connection, waits for each answer before the next
// request unless together is set, and returns when the last answer has come.
func (w *world) sendPipelined(n *node, requests []*pipelined, deadline time.Duration, together bool) error {
	socket, err := net.Dial("tcp", n.caller)
	if err != nil {
		return err
	}
	defer func() { _ = socket.Close() }()
	_ = socket.SetDeadline(time.Now().Add(3 * deadline))
	reader := bufio.NewReader(socket)
	read := func(r *pipelined) error {
		response, err := http.ReadResponse(reader, &http.Request{Method: r.method})
		if err != nil {
			return err
		}
		defer func() { _ = response.Body.Close() }()
		r.status = response.StatusCode
		_, err = io.Copy(io.Discard, response.Body)
		return err
	}
	var batch bytes.Buffer
	for _, r := range requests {
		r.id = newID()
		fmt.Fprintf(&batch, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n", r.method, r.path, r.host, r.id, deadline.Milliseconds())
		if r.method == http.MethodPost {
			batch.WriteString("Content-Length: 6\r\n\r\nfiling")
		} else {
			batch.WriteString("\r\n")
		}
		r.sentAt = time.Now()
		if together {
			continue
		}
		if _, err := socket.Write(batch.Bytes()); err != nil {
			return err
		}
		batch.Reset()
		if err := read(r); err != nil {
			return err
		}
	}
	if !together {
		return nil
	}
	if _, err := socket.Write(batch.Bytes()); err != nil {
		return err
	}
	for _, r := range requests {
		if err := read(r); err != nil {
			return err
		}
	}
	return nil
}

// playPipeline lets clients send idempotent requests behind one that is not, before it is
// answered, and checks the time that servers are handed (BUDGET).
func playPipeline(w *world) (string, error) {
	const rounds, behind, deadline, allowed = 12, 4, 3 * time.Second, 500 * time.Millisecond
	w.configure(1, []string{"board", "ledger"},
		route{Name: "view", Host: "board.example", Prefix: "/view/", Kind: "idempotent", TimeoutMs: 3000, Objective: 500, Rank: 2, Service: "board", Attempts: 2},
		route{Name: "file", Host: "ledger.example", Prefix: "/file/", Kind: "non_idempotent", TimeoutMs: 3000, Objective: 600, Rank: 1, Service: "ledger", Attempts: 2})
	board := w.newNode("node-1", "north", "board")
	w.newNode("node-2", "north", "ledger")
	servers := make(map[string]*server)
	for _, n := range w.nodes {
		n.start()
		s := newServer(n, "i-"+n.name)
		servers[n.service] = s
		s.start()
	}
	servers["ledger"].work = 1200 * time.Millisecond
	for _, n := range w.nodes {
		if err := n.awaitReady(10 * time.Second); err != nil {
			return "", err
		}
	}
	time.Sleep(4 * time.Second)
	var mutex sync.Mutex
	var sent []*pipelined
	for range rounds {
		var clients sync.WaitGroup
		for range 2 {
			clients.Go(func() {
				requests := []*pipelined{{method: http.MethodPost, host: "ledger.example", path: "/file/1"}}
				for i := range behind {
					requests = append(requests, &pipelined{method: http.MethodGet, host: "board.example", path: fmt.Sprintf("/view/%d", i)})
				}
				if err := w.sendPipelined(board, requests, deadline, w.trouble); err != nil {
					w.record("client: %v", err)
				}
				mutex.Lock()
				defer mutex.Unlock()
				sent = append(sent, requests...)
			})
		}
		clients.Wait()
	}
	passed, over := 0, 0
	for _, r := range sent {
		for _, s := range servers {
			for _, a := range s.requestsOf(r.id) {
				left := deadline - a.at.Sub(r.sentAt)
				excess := a.deadline - left
				passed++
				if excess > allowed {
					over++
				}
				w.record("%s %s %s: sent at %.3f, status %d; reaches %s %.3f s later with %d ms, of which the client has %d ms left", r.method, r.path, r.id,
					r.sentAt.Sub(w.began).Seconds(), r.status, s.id, a.at.Sub(r.sentAt).Seconds(), a.deadline.Milliseconds(), left.Milliseconds())
			}
		}
	}
	w.record("%d requests passed on, %d of them with over %v more than their client's time", passed, over, allowed)
	if passed < len(sent)/2 {
		return "", fmt.Errorf("only %d of %d requests reached a server", passed, len(sent))
	}
	if over > 20 && over*5 > passed {
		return fmt.Sprintf("BUDGET: %d of %d requests were passed on with over %v more than their client's time", over, passed, allowed), nil
	}
	return "", nil
}

// requestsOf returns the arrivals of a request at the server.
func (s *server) requestsOf(id string) []arrival {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var found []arrival
	for _, a := range s.arrivals {
		if a.id == id {
			found = append(found, a)
		}
	}
	return found
}
