// Package bulrushtask starts goroutines and passes their results to a callback.
package bulrushtask

import (
	"context"
	"sync"
)

// resultBuffer is the number of results that can wait to be read before further
// goroutines block on sending theirs. They have done their work by then.
const resultBuffer = 64

// Result is the result of a goroutine that has ended.
type Result struct {
	Name string
	Err  error
}

// Group starts goroutines and collects their results. The zero value is not
// usable.
type Group struct {
	mutex   sync.Mutex
	running int
	results chan Result
	// onResult is called for each result, one at a time. The group is locked
	// during the call.
	onResult func(Result)
}

// NewGroup returns a group that passes each result to onResult, which may be nil.
// Start, Running and Wait call it, and it must not call them.
func NewGroup(onResult func(Result)) *Group {
	if onResult == nil {
		onResult = func(Result) {}
	}
	return &Group{results: make(chan Result, resultBuffer), onResult: onResult}
}

// Start runs a function in a goroutine. It also collects the results of
// goroutines that have ended since the last call.
func (g *Group) Start(ctx context.Context, name string, run func(context.Context) error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.collect()
	g.running++
	go g.sendResult(ctx, name, run)
}

func (g *Group) sendResult(ctx context.Context, name string, run func(context.Context) error) {
	g.results <- Result{Name: name, Err: run(ctx)}
}

func (g *Group) collect() {
	for {
		select {
		case result := <-g.results:
			g.running--
			g.onResult(result)
		default:
			return
		}
	}
}

// Wait collects results until every goroutine has ended.
func (g *Group) Wait() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for g.running > 0 {
		result := <-g.results
		g.running--
		g.onResult(result)
	}
}

// Running returns the number of goroutines whose result has not been collected.
func (g *Group) Running() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.collect()
	return g.running
}
