package bulrushattempt

import (
	"bulrushchute.example/bulrushchute"
)

// Limits on the attempts of one service on one entry node. A ratio is in
// thousandths of a token for each request.
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

func (b *Budgets) countRequest() {
	b.retries.deposit()
	b.refusals.deposit()
	b.hedges.deposit()
}
