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
	_ = socket.SetDeadline(time.Now().Add(time.Minute))
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

// playPipeline lets clients send idempotent requests before the first one is answered, and
// checks the time that servers are handed (BUDGET): first behind a request that is not
// idempotent, then many behind an idempotent one.
func playPipeline(w *world) (string, error) {
	const work, pause = 1200 * time.Millisecond, 4 * time.Second
	w.configure(1, []string{"board", "ledger"},
		route{Name: "view", Host: "board.example", Prefix: "/view/", Kind: "idempotent", TimeoutMs: 3000, Objective: 500, Rank: 2, Service: "board", Attempts: 2},
		route{Name: "file", Host: "ledger.example", Prefix: "/file/", Kind: "non_idempotent", TimeoutMs: 3000, Objective: 600, Rank: 1, Service: "ledger", Attempts: 2})
	board := w.newNode("node-1", "north", "board")
	w.newNode("node-2", "north", "ledger")
	servers := make(map[string]*server)
	for _, n := range w.nodes {
		n.start()
		s := newServer(n, "i-"+n.name)
		s.slots = 60
		servers[n.service] = s
		s.start()
	}
	servers["ledger"].work = work
	for _, n := range w.nodes {
		if err := n.awaitReady(10 * time.Second); err != nil {
			return "", err
		}
	}
	time.Sleep(pause)
	plays := []struct {
		name           string
		filings, views int
		rounds         int
		work           time.Duration
	}{
		{"4 views behind a filing", 1, 4, 12, 160 * time.Millisecond},
		{"26 views at once", 0, 26, 5, work},
	}
	broken := ""
	for _, play := range plays {
		servers["board"].setWork(play.work)
		if !w.trouble && play.filings == 0 {
			// One after the other, they take as long as the work of each.
			play.rounds = 1
		}
		sent := w.playRounds(board, play.rounds, play.filings, play.views)
		passed, over := w.countOver(sent, servers)
		w.record("%s: %d requests passed on, %d of them with over %v more than their client's time", play.name, passed, over, maxExcess)
		if passed < len(sent)*3/4 {
			return "", fmt.Errorf("%s: only %d of %d requests reached a server", play.name, passed, len(sent))
		}
		if over > 20 && over*5 > passed {
			broken += fmt.Sprintf("BUDGET: %s: %d of %d requests were passed on with over %v more than their client's time; ", play.name, over, passed, maxExcess)
		}
	}
	return broken, nil
}

const (
	clientDeadline = 3 * time.Second
	// maxExcess is by how much the time that a server is handed may exceed the client's.
	maxExcess = 500 * time.Millisecond
)

// playRounds lets two clients at a time send requests on a connection of their own.
func (w *world) playRounds(n *node, rounds, filings, views int) []*pipelined {
	var mutex sync.Mutex
	var sent []*pipelined
	for range rounds {
		var clients sync.WaitGroup
		for range 2 {
			clients.Go(func() {
				var requests []*pipelined
				for range filings {
					requests = append(requests, &pipelined{method: http.MethodPost, host: "ledger.example", path: "/file/1"})
				}
				for i := range views {
					requests = append(requests, &pipelined{method: http.MethodGet, host: "board.example", path: fmt.Sprintf("/view/%d", i)})
				}
				if err := w.sendPipelined(n, requests, clientDeadline, w.trouble); err != nil {
					w.record("client: %v", err)
				}
				mutex.Lock()
				defer mutex.Unlock()
				sent = append(sent, requests...)
			})
		}
		clients.Wait()
	}
	return sent
}

// countOver returns how many requests reached a server, and how many of them with too much time.
func (w *world) countOver(sent []*pipelined, servers map[string]*server) (passed, over int) {
	for _, r := range sent {
		for _, s := range servers {
			for _, a := range s.requestsOf(r.id) {
				left := clientDeadline - a.at.Sub(r.sentAt)
				passed++
				if a.deadline-left > maxExcess {
					over++
				}
				w.record("%s %s %s: sent at %.3f, status %d; reaches %s %.3f s later with %d ms, of which the client has %d ms left", r.method, r.path, r.id,
					r.sentAt.Sub(w.began).Seconds(), r.status, s.id, a.at.Sub(r.sentAt).Seconds(), a.deadline.Milliseconds(), left.Milliseconds())
			}
		}
	}
	return passed, over
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
