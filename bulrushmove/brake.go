package bulrushmove

import (
	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
)

// Brake judges a move on the evidence of one entry node, so that a bad version
// is stopped without waiting for the holder or the store. It is not safe for
// concurrent use.
type Brake struct {
	move       bulrushcatalogue.Move
	judge      *Judge
	nextStepAt bulrushchute.Millis
}

// NewBrake returns a brake for a move.
func NewBrake(move bulrushcatalogue.Move) *Brake {
	b := &Brake{move: move, judge: NewJudge(BrakeThreshold)}
	if isShort(move) {
		b.judge.SetShort(shortBrakeThreshold)
	}
	return b
}

// Observe adds a sample recorded on this node.
func (b *Brake) Observe(sample Sample) {
	var counts Counts
	counts.observe(sample)
	switch {
	case b.move.IsOldVersion(sample.Version):
		b.judge.AddOld(sample.Route, counts)
	case sample.Version == b.move.ToVersion:
		b.judge.AddNew(sample.Route, counts)
	}
}

// Tick judges the evidence once per evidence period and returns the latest
// finding. If it is bad, the caller must apply Shares.WithBrake and spread the
// record.
func (b *Brake) Tick(now bulrushchute.Millis, share int) Finding {
	if now < b.nextStepAt {
		return b.judge.Finding()
	}
	b.nextStepAt = now + EvidencePeriodOf(b.move)
	b.judge.SetShare(share)
	return b.judge.Step()
}

// EvidencePeriodOf returns the interval between evidence reports for a move.
func EvidencePeriodOf(move bulrushcatalogue.Move) bulrushchute.Millis {
	return evidencePeriodOf(isShort(move))
}

// isShort reports whether a move with a time limit is too short for the ordinary
// stages.
func isShort(move bulrushcatalogue.Move) bool {
	return move.WithinMs > 0 && move.WithinMs < shortMoveLimit
}

func evidencePeriodOf(short bool) bulrushchute.Millis {
	if short {
		return shortEvidencePeriod
	}
	return EvidencePeriod
}
