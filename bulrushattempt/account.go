package bulrushattempt

import (
	"bulrushchute.example/bulrushchute"
)

const (
	// maxAccounts limits the tenants of a service that have an account.
	maxAccounts = 64
	// accountReplaceChoices is the number of accounts of which the fullest one makes
	// room for a new one. It loses least, since a new account is at most as full as
	// its bucket.
	accountReplaceChoices = 8
	// reservedShare divides the burst of a bucket. What is left below that part is
	// kept for tenants that have not used up their own deposits.
	reservedShare = 2
)

// account is one tenant's part of each bucket. It receives the deposits of the
// tenant's requests and pays for their attempts, as the bucket does for all tenants.
//
// Without accounts, a tenant most of whose requests are refused uses up the attempts
// that the requests of all others have paid for.
type account struct {
	tenant bulrushchute.Tenant
	levels [bucketKindCount]int
}

// bucketKind names a bucket that is divided between tenants.
type bucketKind uint8

const (
	// bucketRetries pays for attempts after a failure, or after a refusal by the
	// backend server itself.
	bucketRetries bucketKind = iota
	// bucketRefusals pays for attempts after other refusals and after attempts that
	// were not sent.
	bucketRefusals
	// bucketSlowRefusals pays for attempts after a refusal because of a slowdown.
	bucketSlowRefusals
	bucketKindCount
)

// accounts holds the accounts of a service's tenants.
type accounts struct {
	byTenant map[bulrushchute.Tenant]*account
	// order holds the same accounts in the order in which they are replaced, from hand
	// on.
	order []*account
	hand  int
}

// get returns the tenant's account. A new one is as full as the buckets.
func (as *accounts) get(tenant bulrushchute.Tenant, buckets *[bucketKindCount]tokenBucket) *account {
	if known, ok := as.byTenant[tenant]; ok {
		return known
	}
	if as.byTenant == nil {
		as.byTenant = make(map[bulrushchute.Tenant]*account)
	}
	created := &account{tenant: tenant}
	for kind := range buckets {
		created.levels[kind] = buckets[kind].level
	}
	as.byTenant[tenant] = created
	if len(as.order) < maxAccounts {
		as.order = append(as.order, created)
		return created
	}
	i := as.fullest()
	delete(as.byTenant, as.order[i].tenant)
	as.order[i] = created
	return created
}

// fullest returns the index of the account with most tokens for refusals among the
// next few.
func (as *accounts) fullest() int {
	fullest := as.hand
	for range accountReplaceChoices {
		if as.order[as.hand].levels[bucketRefusals] > as.order[fullest].levels[bucketRefusals] {
			fullest = as.hand
		}
		as.hand = (as.hand + 1) % len(as.order)
	}
	return fullest
}

// purse pays for attempts.
type purse interface {
	take() bool
	refund()
}

// share is the part of a bucket that one tenant may use. It is as full as the bucket
// if all requests are of that tenant.
type share struct {
	bucket *tokenBucket
	level  *int
}

func (s *share) deposit() {
	s.bucket.deposit()
	*s.level = min(*s.level+s.bucket.depositUnits, s.bucket.burstUnits)
}

func (s *share) take() bool {
	if !s.available() {
		return false
	}
	s.bucket.take()
	*s.level = max(0, min(*s.level, s.bucket.burstUnits)-unitsPerToken)
	return true
}

func (s *share) refund() {
	s.bucket.refund()
	*s.level = min(*s.level+unitsPerToken, s.bucket.burstUnits)
}

// available reports whether take would succeed.
func (s *share) available() bool {
	paid := min(*s.level, s.bucket.burstUnits) >= unitsPerToken
	return s.bucket.available() && (paid || s.bucket.level-unitsPerToken >= s.bucket.burstUnits/reservedShare)
}
