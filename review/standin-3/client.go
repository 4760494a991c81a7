package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// attempt is a request that a client sent, and what it got.
type attempt struct {
	id         string
	sentAt     time.Time
	endedAt    time.Time
	status     int
	err        error
	body       []byte
	header     http.Header
	retryAfter time.Duration
}

func newID() string {
	var random [8]byte
	_, _ = rand.Read(random[:])
	return hex.EncodeToString(random[:])
}

// client sends requests of one route to one node.
type client struct {
	world  *world
	node   *node
	method string
	host   string
	path   string
	// deadline is how long the client waits.
	deadline time.Duration
	body     []byte
	http     *http.Client

	mutex    sync.Mutex
	attempts []attempt
}

func (w *world) newClient(n *node, method, host, path string, deadline time.Duration) *client {
	return &client{world: w, node: n, method: method, host: host, path: path, deadline: deadline,
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 12 * time.Second, DisableCompression: true}}}
}

// send sends one request and waits for its answer.
func (c *client) send() attempt {
	a := attempt{id: newID(), sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), c.deadline+500*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, c.method, "http://"+c.node.caller+c.path, bytes.NewReader(c.body))
	if err != nil {
		panic(err)
	}
	request.Host = c.host
	request.Header.Set("X-Attempt-Id", a.id)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(c.deadline.Milliseconds(), 10))
	response, err := c.http.Do(request)
	if err == nil {
		a.status, a.header = response.StatusCode, response.Header
		a.body, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
			a.retryAfter = time.Duration(seconds * float64(time.Second))
		}
	}
	a.err, a.endedAt = err, time.Now()
	c.mutex.Lock()
	c.attempts = append(c.attempts, a)
	c.mutex.Unlock()
	return a
}

// sendSteadily sends requests at a rate until stop is closed, and waits for the answers.
func (c *client) sendSteadily(perS float64, stop <-chan struct{}) {
	var pending sync.WaitGroup
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perS))
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			pending.Wait()
			return
		case <-ticker.C:
			pending.Add(1)
			go func() {
				defer pending.Done()
				c.send()
			}()
		}
	}
}
