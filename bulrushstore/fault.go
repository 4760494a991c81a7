package bulrushstore

import (
	"math/rand/v2"
	"sync"

	"bulrushchute.example/bulrushchute"
)

// Verb is the kind of a call to the store.
type Verb string

// Verbs of calls.
const (
	VerbGet    Verb = "get"
	VerbList   Verb = "list"
	VerbCreate Verb = "create"
	VerbUpdate Verb = "update"
	VerbDelete Verb = "delete"
	VerbWatch  Verb = "watch"
)

// Writes reports whether calls with this verb change the store.
func (v Verb) Writes() bool {
	return v == VerbCreate || v == VerbUpdate || v == VerbDelete
}

// Call names one call to the store.
type Call struct {
	Verb Verb
	Kind bulrushchute.Kind
	Name string
}

// FaultKind is what goes wrong with one call.
type FaultKind uint8

// Kinds of faults.
const (
	// FaultNone lets the call through.
	FaultNone FaultKind = iota
	// FaultDown refuses the call before it has an effect.
	FaultDown
	// FaultSlow delays the call by Fault.Delay before it has an effect.
	FaultSlow
	// FaultAnswerLost loses the answer after the call took effect.
	FaultAnswerLost
	// FaultStaleRead answers a get or list from the state before the last
	// change of the kind. Other calls are let through.
	FaultStaleRead
)

// Fault is what happens to one call.
type Fault struct {
	Kind  FaultKind
	Delay bulrushchute.Millis
}

// Faults decides the fault of each call. It must be safe for concurrent use.
type Faults interface {
	Next(call Call) Fault
}

// FaultFunc is a function that decides the fault of each call.
type FaultFunc func(call Call) Fault

// Next implements Faults.
func (ff FaultFunc) Next(call Call) Fault {
	return ff(call)
}

// ScriptedFaults gives the faults to calls in order and none afterwards.
// Watches take no fault from the script.
func ScriptedFaults(faults ...Fault) Faults {
	var mu sync.Mutex
	return FaultFunc(func(call Call) Fault {
		mu.Lock()
		defer mu.Unlock()
		if call.Verb == VerbWatch || len(faults) == 0 {
			return Fault{}
		}
		next := faults[0]
		faults = faults[1:]
		return next
	})
}

// FaultRates are the shares of calls with each fault, from 0 to 1 in total.
type FaultRates struct {
	Down       float64
	Slow       float64
	AnswerLost float64
	StaleRead  float64
	// Delay is the longest delay of a slow call.
	Delay bulrushchute.Millis
}

// SeededFaults draws the fault of each call from a seeded source.
func SeededFaults(seed uint64, rates FaultRates) Faults {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, 0))
	return FaultFunc(func(Call) Fault {
		mu.Lock()
		defer mu.Unlock()
		return rates.draw(random)
	})
}

func (fr FaultRates) draw(random *rand.Rand) Fault {
	share := random.Float64()
	delay := bulrushchute.Millis(random.Int64N(int64(fr.Delay) + 1))
	steps := []struct {
		share float64
		fault Fault
	}{
		{fr.Down, Fault{Kind: FaultDown}},
		{fr.Slow, Fault{Kind: FaultSlow, Delay: delay}},
		{fr.AnswerLost, Fault{Kind: FaultAnswerLost}},
		{fr.StaleRead, Fault{Kind: FaultStaleRead}},
	}
	for _, step := range steps {
		if share < step.share {
			return step.fault
		}
		share -= step.share
	}
	return Fault{}
}
