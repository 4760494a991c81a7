package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// ledger records the runs of all servers by the request's ID.
type ledger struct {
	mutex sync.Mutex
	runs  map[string][]string
}

func (l *ledger) add(id, server string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.runs[id] = append(l.runs[id], server)
}

func (l *ledger) of(id string) []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return append([]string(nil), l.runs[id]...)
}

// garblingServer is a server that handles its connections itself, so that it can send a
// second copy of an answer late: where the next answer is expected.
type garblingServer struct {
	world  *world
	node   *node
	ledger *ledger
	id     string
	slots  int
	workMs int
	// shedShare is the share of all that arrives, health checks too, that it rejects.
	shedShare float64

	mutex sync.Mutex
	// extraShare is the share of its answers of which it sends a second copy.
	extraShare                              float64
	running, answers, extras, healthRefused int
}

func (n *node) startGarblingServer(l *ledger, id string, workMs int, shedShare float64) (*garblingServer, error) {
	listener, err := net.Listen("tcp", n.backend)
	if err != nil {
		return nil, err
	}
	g := &garblingServer{world: n.world, node: n, ledger: l, id: id, slots: 9, workMs: workMs, shedShare: shedShare}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go g.serve(conn)
		}
	}()
	return g, nil
}

// beats sends heartbeats until the process ends.
func (g *garblingServer) beats(born int64) {
	for sequence := 1; ; sequence++ {
		g.node.beat(g.id, announcement{
			Service: g.node.service, Address: g.node.backend, Zone: g.node.zone, Version: "v1", Slots: g.slots,
			State: "ready", Sequence: sequence, Born: born,
		})
		time.Sleep(1500 * time.Millisecond)
	}
}

func (g *garblingServer) setExtraShare(share float64) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.extraShare = share
}

func (g *garblingServer) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	var extra []byte
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if extra != nil {
			first, _, _ := bytes.Cut(extra, []byte("Content-Length"))
			g.world.note("server %s sends a second copy of %q before the answer to %s %s", g.id, first, request.URL.Path, request.Header.Get("X-Attempt-Id"))
			if _, err := conn.Write(extra); err != nil {
				return
			}
		}
		answer := g.answer(request, body)
		if _, err := conn.Write(answer); err != nil {
			return
		}
		extra = g.copyOf(answer)
	}
}

// copyOf returns the answer if a second copy of it is to be sent.
func (g *garblingServer) copyOf(answer []byte) []byte {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.answers++
	if rand.Float64() >= g.extraShare {
		return nil
	}
	g.extras++
	return answer
}

func (g *garblingServer) answer(request *http.Request, body []byte) []byte {
	id := request.Header.Get("X-Attempt-Id")
	health := request.URL.Path == "/health"
	if rand.Float64() < g.shedShare {
		if health {
			g.mutex.Lock()
			g.healthRefused++
			g.mutex.Unlock()
		}
		return g.encode(http.StatusTooManyRequests, id, "X-Not-Executed: 1\r\n", nil)
	}
	if health {
		return g.encode(http.StatusOK, "", "X-Instance-Id: "+g.id+"\r\n", nil)
	}
	if expected := request.Header.Get("X-Expect-Instance"); expected != g.id {
		return g.encode(http.StatusMisdirectedRequest, id, "X-Instance-Id: "+g.id+"\r\n", nil)
	}
	g.mutex.Lock()
	full := g.running >= g.slots
	if !full {
		g.running++
	}
	g.mutex.Unlock()
	if full {
		return g.encode(http.StatusServiceUnavailable, id, "X-Not-Executed: 1\r\n", nil)
	}
	g.ledger.add(id, g.id)
	g.world.note("server %s runs %s %s", g.id, request.Method, id)
	time.Sleep(time.Duration(g.workMs) * time.Millisecond)
	g.mutex.Lock()
	g.running--
	g.mutex.Unlock()
	return g.encode(http.StatusOK, id, "X-Response-Signature: "+g.id+"."+id+"\r\n", append([]byte("done "), body...))
}

func (g *garblingServer) encode(status int, id, headers string, body []byte) []byte {
	g.mutex.Lock()
	running := g.running
	g.mutex.Unlock()
	var encoded bytes.Buffer
	fmt.Fprintf(&encoded, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if id != "" {
		fmt.Fprintf(&encoded, "X-Attempt-Id: %s\r\n", id)
	}
	fmt.Fprintf(&encoded, "X-Server-Load: %d,0,%d,100\r\n%sContent-Length: %d\r\n\r\n", running, g.slots, headers, len(body))
	encoded.Write(body)
	return encoded.Bytes()
}
