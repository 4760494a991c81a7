package bulrushstore

import (
	"math/rand/v2"
	"sync"

	"bulrushchute.example/bulrushchute"
)

// Verb is the API verb of a call to the store.
type Verb string

// Verbs of the store API.
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

// Call identifies one call to the store.
type Call struct {
	Verb Verb
	Kind bulrushchute.Kind
	Name string
}

// FaultKind is the kind of fault injected into a call.
type FaultKind uint8

// Kinds of faults.
const (
	// FaultNone injects no fault.
	FaultNone FaultKind = iota
	// FaultDown fails the call before it has an effect.
	FaultDown
	// FaultSlow delays the call by Fault.Delay before it has an effect.
	FaultSlow
	// FaultResponseLost drops the response after the call has taken effect.
	FaultResponseLost
	// FaultStaleRead serves a get or list from the state before the last change
	// of the kind. It has no effect on other calls.
	FaultStaleRead
)

// Fault is a fault injected into one call.
type Fault struct {
	Kind  FaultKind
	Delay bulrushchute.Millis
}

// FaultSource selects the fault of each call. It must be safe for concurrent
// use.
type FaultSource interface {
	Next(call Call) Fault
}

// FaultFunc adapts a function to a FaultSource.
type FaultFunc func(call Call) Fault

// Next implements FaultSource.
func (ff FaultFunc) Next(call Call) Fault {
	return ff(call)
}

// ScriptedFaults returns a source that assigns the faults to calls in order and
// none afterwards. Watches get no fault and use up none.
func ScriptedFaults(faults ...Fault) FaultSource {
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

// FaultRates are the fractions of calls that get each fault. Their sum is at
// most 1; the other calls get none.
type FaultRates struct {
	Down         float64
	Slow         float64
	ResponseLost float64
	StaleRead    float64
	// MaxDelay is the maximum delay of a slow call.
	MaxDelay bulrushchute.Millis
}

// SeededFaults returns a source that draws the fault of each call from a seeded
// random generator.
func SeededFaults(seed uint64, rates FaultRates) FaultSource {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, 0))
	return FaultFunc(func(Call) Fault {
		mu.Lock()
		defer mu.Unlock()
		return rates.drawFault(random)
	})
}

func (fr FaultRates) drawFault(random *rand.Rand) Fault {
	x := random.Float64()
	delay := bulrushchute.Millis(random.Int64N(int64(fr.MaxDelay) + 1))
	choices := []struct {
		probability float64
		fault       Fault
	}{
		{fr.Down, Fault{Kind: FaultDown}},
		{fr.Slow, Fault{Kind: FaultSlow, Delay: delay}},
		{fr.ResponseLost, Fault{Kind: FaultResponseLost}},
		{fr.StaleRead, Fault{Kind: FaultStaleRead}},
	}
	for _, choice := range choices {
		if x < choice.probability {
			return choice.fault
		}
		x -= choice.probability
	}
	return Fault{}
}
