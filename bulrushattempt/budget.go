package bulrushattempt

import (
	"bulrushchute.example/bulrushchute"
)

// Default limits on the attempts of one service on one entry node. A ratio is
// in thousandths of a token for each request.
const (
	// MaxAttempts bounds the attempts of one request, hedge included.
	MaxAttempts = 3

	retryRatio   = 100
	retryBurst   = 10
	refusalRatio = 500
	refusalBurst = 20
	hedgeRatio   = 50
	hedgeBurst   = 5

	wholeToken = 1000
)

// Limits bound the further attempts that may reach a backend server.
type Limits struct {
	// RetryRatio and HedgeRatio are in attempts for each request.
	RetryRatio float64
	HedgeRatio float64
	// RetryBurst and HedgeBurst are the attempts that may follow each other at once.
	RetryBurst float64
	HedgeBurst float64
}

// DefaultLimits returns the limits of a node that was given none.
func DefaultLimits() Limits {
	return Limits{
		RetryRatio: float64(retryRatio) / wholeToken,
		HedgeRatio: float64(hedgeRatio) / wholeToken,
		RetryBurst: retryBurst,
		HedgeBurst: hedgeBurst,
	}
}

// tokens is a bucket that requests fill and further attempts empty. Over any
// window with n requests it grants at most burst + ratio x n.
type tokens struct {
	level int
	ratio int
	limit int
}

func newTokens(ratio, burst, start int) tokens {
	return tokens{level: start * wholeToken, ratio: ratio, limit: burst * wholeToken}
}

func (t *tokens) deposit() {
	t.level = min(t.level+t.ratio, t.limit)
}

func (t *tokens) take() bool {
	if t.level < wholeToken {
		return false
	}
	t.level -= wholeToken
	return true
}

func (t *tokens) giveBack() {
	t.level = min(t.level+wholeToken, t.limit)
}

// Budgets bounds the further attempts of one service and knows its recent
// latency. It is not safe for concurrent use.
type Budgets struct {
	retries  tokens
	refusals tokens
	hedges   tokens
	latency  latencyHistogram
}

// NewBudgets returns budgets that are full, but for the hedges: these start
// empty so that they never exceed their share of all requests.
func NewBudgets(now bulrushchute.Millis) *Budgets {
	return &Budgets{
		retries:  newTokens(retryRatio, retryBurst, retryBurst),
		refusals: newTokens(refusalRatio, refusalBurst, refusalBurst),
		hedges:   newTokens(hedgeRatio, hedgeBurst, 0),
		latency:  latencyHistogram{halvedAt: now},
	}
}

// HedgeDelay returns the service's recent p95, and false while too few
// answers are known.
func (b *Budgets) HedgeDelay(now bulrushchute.Millis) (bulrushchute.Millis, bool) {
	return b.latency.quantile(now, hedgeQuantile)
}

// SetLimits changes the limits. Tokens beyond a lowered burst are dropped.
func (b *Budgets) SetLimits(limits Limits) {
	b.retries.setLimits(limits.RetryRatio, limits.RetryBurst)
	b.hedges.setLimits(limits.HedgeRatio, limits.HedgeBurst)
}

func (t *tokens) setLimits(ratio, burst float64) {
	t.ratio = int(ratio * wholeToken)
	t.limit = int(burst * wholeToken)
	t.level = min(t.level, t.limit)
}

func (b *Budgets) countRequest() {
	b.retries.deposit()
	b.refusals.deposit()
	b.hedges.deposit()
}
