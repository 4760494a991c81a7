// Package bulrushtask starts goroutines whose ends their owner reads.
package bulrushtask

import (
	"context"
	"sync"
)

// endBuffer is the number of ended goroutines that may wait to be read before
// further ones wait with their report. They have done their work by then.
const endBuffer = 64

// Result is the report of a goroutine that has ended.
type Result struct {
	Name string
	Err  error
}

// Group starts goroutines and collects their reports. The zero value is not usable.
type Group struct {
	mutex   sync.Mutex
	running int
	ends    chan Result
	// observe is called for each report, one at a time.
	observe func(Result)
}

// NewGroup returns a group that passes each report to observe, which may be nil.
func NewGroup(observe func(Result)) *Group {
	if observe == nil {
		observe = func(Result) {}
	}
	return &Group{ends: make(chan Result, endBuffer), observe: observe}
}

// Start runs a function in a goroutine. It also reads the reports of
// goroutines that have ended meanwhile.
func (g *Group) Start(ctx context.Context, name string, run func(context.Context) error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.collect()
	g.running++
	go g.report(ctx, name, run)
}

func (g *Group) report(ctx context.Context, name string, run func(context.Context) error) {
	g.ends <- Result{Name: name, Err: run(ctx)}
}

func (g *Group) collect() {
	for {
		select {
		case end := <-g.ends:
			g.running--
			g.observe(end)
		default:
			return
		}
	}
}

// Wait reads reports until every goroutine has ended.
func (g *Group) Wait() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for g.running > 0 {
		end := <-g.ends
		g.running--
		g.observe(end)
	}
}

// Running returns the number of goroutines whose end has not been read.
func (g *Group) Running() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.collect()
	return g.running
}
