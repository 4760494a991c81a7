package bulrushresume

import (
	"bulrushchute.example/bulrushchute"
)

const (
	// pingAfter is the time without a message from the peer after which a ping asks
	// for one.
	pingAfter = 40 * bulrushchute.Millisecond
	// minPatience is the shortest time for which a ping is awaited. It is longer than
	// a pause of a process that has used up its share of a core.
	minPatience = 70 * bulrushchute.Millisecond
	maxPatience = bulrushchute.Second
	// roundTripFactor times the mean round trip is awaited at least.
	roundTripFactor = 4
	// roundTripWeight is the weight of a new round trip in the mean.
	roundTripWeight = 0.2
)

// SilenceAction is what is due for a connection.
type SilenceAction uint8

// Actions of a Silence.
const (
	SilenceNone SilenceAction = iota
	// SilencePing asks to send a ping.
	SilencePing
	// SilenceReplace asks to open another connection beside this one.
	SilenceReplace
)

// Silence watches one connection while attempts are outstanding on it.
type Silence struct {
	// heardAt is when the last message arrived, or when the watch began.
	heardAt bulrushchute.Millis
	// pingedAt is when the oldest ping was sent that is not answered, 0 for none.
	pingedAt bulrushchute.Millis
	// roundTrip is the mean time from a ping to the next message.
	roundTrip float64
	patience  bulrushchute.Millis
}

// NewSilence returns the watch of a connection that has just been opened in the given
// time.
func NewSilence(now, roundTrip bulrushchute.Millis) *Silence {
	return &Silence{heardAt: now, roundTrip: float64(roundTrip), patience: minPatience}
}

// Begin starts the watch when an attempt is sent while no other is outstanding.
func (s *Silence) Begin(now bulrushchute.Millis) {
	s.heardAt = max(s.heardAt, now)
	s.pingedAt = 0
}

// Heard records a message from the peer.
func (s *Silence) Heard(now bulrushchute.Millis) {
	if s.pingedAt > 0 {
		s.roundTrip += float64(roundTripWeight * (float64(now-s.pingedAt) - s.roundTrip))
		s.pingedAt = 0
	}
	s.heardAt = now
}

// Next returns what is due.
func (s *Silence) Next(now bulrushchute.Millis) SilenceAction {
	switch {
	case s.pingedAt > 0 && now-s.pingedAt >= s.limit():
		return SilenceReplace
	case s.pingedAt > 0 || now-s.heardAt < pingAfter:
		return SilenceNone
	}
	s.pingedAt = now
	return SilencePing
}

// Due returns when Next has to be called again, if nothing arrives before.
func (s *Silence) Due() bulrushchute.Millis {
	if s.pingedAt > 0 {
		return s.pingedAt + s.limit()
	}
	return s.heardAt + pingAfter
}

func (s *Silence) limit() bulrushchute.Millis {
	return min(max(s.patience, bulrushchute.Millis(roundTripFactor*s.roundTrip)), maxPatience)
}

// HeardSince reports whether a message arrived after a time.
func (s *Silence) HeardSince(at bulrushchute.Millis) bool {
	return s.heardAt > at
}

// Alive records that a connection was taken for silent although the peer was only
// slow, or that no other one could be opened. The next ping is awaited for longer.
func (s *Silence) Alive(now bulrushchute.Millis) {
	s.patience = min(2*s.limit(), maxPatience)
	s.pingedAt = 0
	s.heardAt = now
}
