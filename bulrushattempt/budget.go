package bulrushattempt

import (
	"bulrushchute.example/bulrushchute"
)

// Default limits on the attempts of one service on one entry node.
const (
	// MaxAttempts bounds the attempts of one request, including a hedge. Up to
	// MaxSlowRefusals attempts that were refused because of a slowdown of the
	// server's machine or of a limit that the server named do not count.
	MaxAttempts     = 3
	MaxSlowRefusals = 3

	// Each request adds a number of thousandths of a token to a bucket, which
	// holds at most a burst of whole tokens.
	retryPermille   = 100
	retryBurst      = 10
	refusalPermille = 500
	refusalBurst    = 20
	slowPermille    = 1000
	slowBurst       = 20
	hedgePermille   = 50
	hedgeBurst      = 5

	unitsPerToken = 1000
)

// Limits bound the hedges, and the retries after a failure or a refusal by the
// backend server itself. The bound on retries after other refusals, and after
// attempts that were not sent, is fixed.
type Limits struct {
	// RetryRatio and HedgeRatio are the retries and hedges per request.
	RetryRatio float64
	HedgeRatio float64
	// RetryBurst and HedgeBurst are the retries and hedges that may be sent at
	// once after a time without any.
	RetryBurst float64
	HedgeBurst float64
}

// DefaultLimits returns the limits of a node whose settings give none.
func DefaultLimits() Limits {
	return Limits{
		RetryRatio: float64(retryPermille) / unitsPerToken,
		HedgeRatio: float64(hedgePermille) / unitsPerToken,
		RetryBurst: retryBurst,
		HedgeBurst: hedgeBurst,
	}
}

// tokenBucket is a token bucket that each request refills by a fraction of a
// token and each retry or hedge takes a token from. In any window with n
// requests it grants at most burst + ratio x n tokens. Its fields count units
// of 1/unitsPerToken tokens.
type tokenBucket struct {
	level        int
	depositUnits int
	burstUnits   int
}

func newTokenBucket(permille, burst, initial int) tokenBucket {
	return tokenBucket{level: initial * unitsPerToken, depositUnits: permille, burstUnits: burst * unitsPerToken}
}

func (tb *tokenBucket) deposit() {
	tb.level = min(tb.level+tb.depositUnits, tb.burstUnits)
}

func (tb *tokenBucket) take() bool {
	if !tb.available() {
		return false
	}
	tb.level -= unitsPerToken
	return true
}

// available reports whether take would succeed.
func (tb *tokenBucket) available() bool {
	return tb.level >= unitsPerToken
}

func (tb *tokenBucket) refund() {
	tb.level = min(tb.level+unitsPerToken, tb.burstUnits)
}

// Budgets limits the retries and hedges of one service and records its recent
// latency. It is not safe for concurrent use.
type Budgets struct {
	// buckets pay for attempts after others, by bucketKind. They are divided between
	// tenants.
	buckets  [bucketKindCount]tokenBucket
	accounts accounts
	hedges   tokenBucket
	latency  latencyHistogram
}

// NewBudgets returns budgets with full buckets, except for hedges: their bucket
// starts empty, so that hedges never exceed their ratio to all requests.
func NewBudgets(now bulrushchute.Millis) *Budgets {
	return &Budgets{
		buckets: [bucketKindCount]tokenBucket{
			bucketRetries:      newTokenBucket(retryPermille, retryBurst, retryBurst),
			bucketRefusals:     newTokenBucket(refusalPermille, refusalBurst, refusalBurst),
			bucketSlowRefusals: newTokenBucket(slowPermille, slowBurst, slowBurst),
		},
		hedges:  newTokenBucket(hedgePermille, hedgeBurst, 0),
		latency: latencyHistogram{halvedAt: now},
	}
}

// HedgeDelay returns the delay before a hedge, the service's recent p95
// latency. It returns false while there are too few samples.
func (b *Budgets) HedgeDelay(now bulrushchute.Millis) (bulrushchute.Millis, bool) {
	return b.latency.quantile(now, hedgeQuantile)
}

// SetLimits changes the limits. Tokens in excess of a lowered burst are lost.
func (b *Budgets) SetLimits(limits Limits) {
	b.buckets[bucketRetries].setLimits(limits.RetryRatio, limits.RetryBurst)
	b.hedges.setLimits(limits.HedgeRatio, limits.HedgeBurst)
}

func (tb *tokenBucket) setLimits(ratio, burst float64) {
	tb.depositUnits = int(ratio * unitsPerToken)
	tb.burstUnits = int(burst * unitsPerToken)
	tb.level = min(tb.level, tb.burstUnits)
}

// countRequest adds the deposits of a tenant's request, and returns the tenant's
// account.
func (b *Budgets) countRequest(tenant bulrushchute.Tenant) *account {
	owner := b.accounts.get(tenant, &b.buckets)
	for kind := range bucketKindCount {
		b.share(owner, kind).deposit()
	}
	b.hedges.deposit()
	return owner
}

// share returns the part of a bucket that the owner of an account may use.
func (b *Budgets) share(owner *account, kind bucketKind) *share {
	return &share{bucket: &b.buckets[kind], level: &owner.levels[kind]}
}
