package bulrushdiscovery

import (
	"math"
	"math/rand/v2"

	"bulrushchute.example/bulrushchute"
)

const (
	// writeSpread is the time over which the nodes of a fleet that starts spread
	// their consistent reads of the list.
	writeSpread = 600 * bulrushchute.Millisecond
	// maxNodes is the size of a fleet up to which the first reads are spread out. The
	// size is not known to a node that starts.
	maxNodes = 1 << 15
	// answerTimeout is the time for which a node waits for answers of listed
	// addresses before it reads a consistent list and adds itself.
	answerTimeout = 750 * bulrushchute.Millisecond
	// sufficientAddresses is the number of listed addresses of a data centre, besides
	// the node's own, from which on the node does not add itself.
	sufficientAddresses = 2
	// introduceDuration is the time after the last read for which the listed
	// addresses are contacted, because their nodes may be starting too.
	introduceDuration = 3 * bulrushchute.Second
	// The interval between two introductions doubles up to maxIntroduceInterval.
	minIntroduceInterval = 100 * bulrushchute.Millisecond
	maxIntroduceInterval = 400 * bulrushchute.Millisecond
	// retryDelay is the maximum delay after a read that failed. Half of it is random,
	// so that the retries of many nodes spread out.
	retryDelay = 800 * bulrushchute.Millisecond
	// maxRaceDelay is the maximum random delay after a write that another node's
	// write preceded.
	maxRaceDelay = 100 * bulrushchute.Millisecond
	// maxStaleReads is the number of stale reads that replace a consistent one after a
	// failure.
	maxStaleReads = 3
	// maxWriteTries limits the tries to write a list that other nodes write too.
	maxWriteTries = 6
)

// Action is what a node has to do next.
type Action uint8

// Actions of a Seeker. The end of a read or write is reported with Listed or Written.
const (
	ActionNone Action = iota
	// ActionListStale asks for a read that may return an earlier state.
	ActionListStale
	// ActionList asks for a consistent read.
	ActionList
	// ActionWrite asks to add the node to the list that was read last.
	ActionWrite
	// ActionIntroduce asks to contact the listed addresses of unknown nodes.
	ActionIntroduce
	// ActionDone ends the search.
	ActionDone
)

// Listing is the result of a read.
type Listing struct {
	// Read is set if the read succeeded.
	Read bool
	// Local is the number of listed addresses of the node's data centre without the
	// node's own.
	Local int
}

// Seeker decides the steps of one search.
type Seeker struct {
	random *rand.Rand
	next   Action
	nextAt bulrushchute.Millis
	// introduceAt is when the next introduction is due, until introduceUntil.
	introduceAt, introduceUntil bulrushchute.Millis
	introduceInterval           bulrushchute.Millis
	writes, failures            int
	// staleReads counts the stale reads since the first failure that found too few
	// addresses.
	staleReads int
	// firstStart is set if the list may be empty because the whole fleet starts.
	firstStart bool
	// unanswered is set while no node at an address of a stale list has answered.
	unanswered bool
}

// NewSeeker returns a Seeker for a search that starts now. firstStart is set if the
// whole fleet starts for the first time, so that nothing is listed yet.
func NewSeeker(now bulrushchute.Millis, firstStart bool, random *rand.Rand) *Seeker {
	s := &Seeker{random: random, next: ActionListStale, nextAt: now, firstStart: firstStart}
	if firstStart {
		s.nextAt = now + s.spreadDelay()
	}
	return s
}

// spreadDelay returns the random delay of a read that many nodes may be about to make.
// Its distribution is exponential towards the end of writeSpread, so that only a few
// of any number of nodes read before the first one has written.
func (s *Seeker) spreadDelay() bulrushchute.Millis {
	share := 1 + math.Log(1-float64(s.random.Float64()))/math.Log(maxNodes)
	return bulrushchute.Millis(max(0, share) * float64(writeSpread))
}

// Next returns what is due. knowsPeer is set if the node knows another one of its data
// centre, through which it learns of all others.
func (s *Seeker) Next(now bulrushchute.Millis, knowsPeer bool) Action {
	if now < s.introduceUntil && now >= s.introduceAt {
		s.introduceAt = now + s.introduceInterval
		s.introduceInterval = min(2*s.introduceInterval, maxIntroduceInterval)
		return ActionIntroduce
	}
	if knowsPeer && (s.next == ActionList || s.next == ActionListStale) {
		s.next, s.nextAt = ActionDone, s.introduceUntil
	}
	if now < s.nextAt {
		return ActionNone
	}
	action := s.next
	s.next = ActionNone
	return action
}

// Listed reports the end of a read.
func (s *Seeker) Listed(now bulrushchute.Millis, listing Listing, stale bool) {
	if !listing.Read {
		// A stale read does not count towards the rate limit of the store.
		s.failures++
		s.schedule(ActionListStale, now+retryDelay/2+s.randomUpTo(retryDelay/2))
		return
	}
	sufficient := listing.Local >= sufficientAddresses
	switch {
	case stale && !sufficient && s.failures > 0 && s.staleReads < maxStaleReads:
		// The store is too busy for a consistent read.
		s.staleReads++
		s.schedule(ActionListStale, now+retryDelay/2+s.randomUpTo(retryDelay/2))
	case stale && listing.Local == 0:
		s.schedule(ActionList, now)
		if !s.firstStart {
			s.nextAt += s.spreadDelay()
		}
	case stale && !sufficient && s.firstStart:
		s.schedule(ActionList, now)
	case stale:
		s.introduce(now, answerTimeout)
		s.unanswered = true
		s.schedule(ActionList, now+answerTimeout+s.spreadDelay())
	default:
		s.introduce(now, introduceDuration)
		s.schedule(ActionDone, s.introduceUntil)
		if !sufficient || s.unanswered {
			s.schedule(ActionWrite, now)
		}
	}
}

func (s *Seeker) schedule(action Action, at bulrushchute.Millis) {
	s.next, s.nextAt = action, at
}

// introduce starts introductions for a time.
func (s *Seeker) introduce(now, duration bulrushchute.Millis) {
	s.introduceAt, s.introduceUntil = now, now+duration
	s.introduceInterval = minIntroduceInterval
}

// Written reports the end of a write. raced is set if another node has changed the
// list since it was read.
func (s *Seeker) Written(now bulrushchute.Millis, raced bool) {
	s.writes++
	if raced && s.writes < maxWriteTries {
		// Another node has been added. The list may suffice now.
		s.schedule(ActionList, now+s.randomUpTo(maxRaceDelay))
		return
	}
	s.schedule(ActionDone, s.introduceUntil)
}

func (s *Seeker) randomUpTo(limit bulrushchute.Millis) bulrushchute.Millis {
	return bulrushchute.Millis(s.random.Float64() * float64(limit))
}
