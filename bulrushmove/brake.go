package bulrushmove

import (
	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
)

// Brake judges a move on the evidence of one entry node alone, so that a bad
// version is stopped without waiting for the holder or the store. It is not
// safe for concurrent use.
type Brake struct {
	move     bulrushcatalogue.Move
	judge    *Judge
	nextStep bulrushchute.Millis
}

// NewBrake returns a brake for a move.
func NewBrake(move bulrushcatalogue.Move) *Brake {
	b := &Brake{move: move, judge: NewJudge(BrakeLimit)}
	if isShort(move) {
		b.judge.SetShort(shortBrakeLimit)
	}
	return b
}

// Observe adds a sample that this node saw.
func (b *Brake) Observe(sample Sample) {
	var counts Counts
	counts.observe(sample)
	switch {
	case b.move.IsOld(sample.Version):
		b.judge.AddOld(sample.Route, counts)
	case sample.Version == b.move.ToVersion:
		b.judge.AddNew(sample.Route, counts)
	}
}

// Tick judges the evidence once in each EvidencePeriod. When the finding is
// bad, the node calls Shares.WithBrake and spreads the record.
func (b *Brake) Tick(now bulrushchute.Millis, share int) Finding {
	if now < b.nextStep {
		return b.judge.Finding()
	}
	b.nextStep = now + PeriodOf(b.move)
	b.judge.SetShare(share)
	return b.judge.Step()
}

// PeriodOf returns the time between two reports of evidence on a move.
func PeriodOf(move bulrushcatalogue.Move) bulrushchute.Millis {
	return periodOf(isShort(move))
}

// isShort reports whether an ordered move has too little time for ordinary stages.
func isShort(move bulrushcatalogue.Move) bool {
	return move.WithinMs > 0 && move.WithinMs < shortMove
}

func periodOf(short bool) bulrushchute.Millis {
	if short {
		return shortEvidencePeriod
	}
	return EvidencePeriod
}
