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
	// waitMutex is held during Wait, and waiting is set meanwhile, so that only Wait
	// reads results.
	waitMutex sync.Mutex
	waiting   bool
	results   chan Result
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
	for !g.waiting {
		select {
		case result := <-g.results:
			g.running--
			g.onResult(result)
		default:
			return
		}
	}
}

// Wait collects results until every goroutine has ended. Goroutines may start others
// meanwhile.
func (g *Group) Wait() {
	g.waitMutex.Lock()
	defer g.waitMutex.Unlock()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.waiting = true
	for g.running > 0 {
		g.mutex.Unlock()
		result := <-g.results
		g.mutex.Lock()
		g.running--
		g.onResult(result)
	}
	g.waiting = false
}

// Running returns the number of goroutines whose result has not been collected.
func (g *Group) Running() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.collect()
	return g.running
}
