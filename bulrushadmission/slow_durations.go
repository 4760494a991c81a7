package bulrushadmission

import (
	"slices"

	"bulrushchute.example/bulrushchute"
)

const (
	// maxDurations is the number of recent slowdowns whose durations are kept.
	maxDurations = 24
	// minDurations is the number of durations before they replace the assumption
	// that a slowdown is over by assumedDuration.
	minDurations = 4
	// assumedDuration is the longest slowdown that is attributed to a neighbour
	// while durations are unknown.
	assumedDuration = 700 * bulrushchute.Millisecond
	// assumedMedianRest is half of the time for which a neighbour loads a machine,
	// while durations are unknown.
	assumedMedianRest = 100 * bulrushchute.Millisecond
	// maxDurationError is the longest interval between the last reading of a
	// slowdown and the first one after it for its duration to be used.
	maxDurationError = 60 * bulrushchute.Millisecond
	// maxObservedDuration is the time for which a slowdown is observed until its
	// end. Longer ones are not caused by neighbours that come and go.
	maxObservedDuration = 2 * bulrushchute.Second
	// learningInterval is the number of slowdowns of which one is observed until
	// its end once maxDurations have been recorded.
	learningInterval = 8
)

// slowDurations holds how long the recent slowdowns of a machine lasted, from
// their first reading on.
//
// Machines differ: on some a neighbour stays for 150 ms, so that a request may
// well wait for its end, on others for a second, which exceeds most latency
// objectives.
type slowDurations struct {
	recent []bulrushchute.Millis
	next   int
	// seen counts the slowdowns that have ended.
	seen int
}

// record adds a slowdown that was last read at one and over at the other of the
// given times since its first reading.
func (sd *slowDurations) record(lastRead, over bulrushchute.Millis) {
	sd.seen++
	if over-lastRead > maxDurationError {
		return
	}
	duration := (lastRead + over) / 2
	if len(sd.recent) < maxDurations {
		sd.recent = append(sd.recent, duration)
		return
	}
	sd.recent[sd.next] = duration
	sd.next = (sd.next + 1) % maxDurations
}

// known reports whether enough durations have been recorded.
func (sd *slowDurations) known() bool {
	return len(sd.recent) >= minDurations
}

// wanted reports whether the end of the current slowdown should be observed.
func (sd *slowDurations) wanted() bool {
	return len(sd.recent) < maxDurations || sd.seen%learningInterval == 0
}

// endsWithin returns the share of the slowdowns that ended within the given wait,
// among those that lasted for at least age. A slowdown that has lasted longer than
// all of them is not expected to end.
func (sd *slowDurations) endsWithin(age, wait bulrushchute.Millis) float64 {
	if !sd.known() {
		if age >= assumedDuration {
			return 0
		}
		return min(1, float64(wait)/float64(2*assumedMedianRest))
	}
	longer, ended := 0, 0
	for _, duration := range sd.recent {
		if duration <= age {
			continue
		}
		longer++
		if duration <= age+wait {
			ended++
		}
	}
	if longer == 0 {
		return 0
	}
	return float64(ended) / float64(longer)
}

// medianRest returns the median time that slowdowns which lasted for at least age
// lasted beyond it.
func (sd *slowDurations) medianRest(age bulrushchute.Millis) bulrushchute.Millis {
	if !sd.known() {
		return assumedMedianRest
	}
	var rests []bulrushchute.Millis
	for _, duration := range sd.recent {
		if duration > age {
			rests = append(rests, duration-age)
		}
	}
	if len(rests) == 0 {
		return maxObservedDuration
	}
	slices.Sort(rests)
	return rests[len(rests)/2]
}
