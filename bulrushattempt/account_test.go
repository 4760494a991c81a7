package bulrushattempt

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
)

// Guards against accounts that change any decision where all requests are of one
// tenant or of none, also when limits change.
func TestOneTenantUsesTheWholeBucket(t *testing.T) {
	for _, tenant := range []bulrushchute.Tenant{"", "a"} {
		random := rand.New(rand.NewPCG(1, 2))
		budgets := NewBudgets(0)
		plain := budgets.buckets
		for step := range 100_000 {
			kind := bucketKind(random.IntN(int(bucketKindCount)))
			part := budgets.share(budgets.accounts.get(tenant, &budgets.buckets), kind)
			assert.Equal(t, part.available(), plain[kind].available(), "step %d", step)
			switch random.IntN(8) {
			case 0, 1, 2:
				budgets.countRequest(tenant)
				for kind := range plain {
					plain[kind].deposit()
				}
			case 3:
				part.refund()
				plain[kind].refund()
			case 4:
				limits := Limits{RetryRatio: random.Float64(), RetryBurst: 20 * random.Float64(), HedgeRatio: 0.1, HedgeBurst: 1}
				budgets.SetLimits(limits)
				plain[bucketRetries].setLimits(limits.RetryRatio, limits.RetryBurst)
			default:
				assert.Equal(t, part.take(), plain[kind].take(), "step %d", step)
			}
			assert.Equal(t, budgets.buckets, plain)
		}
	}
}

// Guards against a tenant that uses up the attempts that the requests of others have
// paid for.
func TestRefusedTenantLeavesRetriesToOthers(t *testing.T) {
	budgets := NewBudgets(0)
	for range 1000 {
		for range 10 {
			heavy := budgets.countRequest("heavy")
			for budgets.share(heavy, bucketRefusals).take() {
			}
		}
		budgets.countRequest("light")
		light := budgets.countRequest("light")
		assert.Assert(t, budgets.share(light, bucketRefusals).take())
	}
}

// Guards against memory that grows with the number of tenants.
func TestAccountsAreBounded(t *testing.T) {
	budgets := NewBudgets(0)
	for n := range 1000 {
		budgets.countRequest(bulrushchute.Tenant(fmt.Sprint(n)))
	}
	assert.Equal(t, len(budgets.accounts.byTenant), maxAccounts)
	assert.Equal(t, len(budgets.accounts.order), maxAccounts)
}

// BenchmarkRequest measures the decisions on a request that is answered at once, and
// on one that is refused first.
func BenchmarkRequest(b *testing.B) {
	for name, refused := range map[string]bool{"answered": false, "refused": true} {
		b.Run(name, func(b *testing.B) {
			budgets := NewBudgets(0)
			info := bulrushchute.RequestInfo{Tenant: "a", Deadline: deadline, WithoutHedge: true}
			b.ReportAllocs()
			for b.Loop() {
				m := New(info, budgets, 0)
				send := m.Next(0)
				m.Sent(0, send.Attempt, "x")
				if refused {
					m.Ended(0, send.Attempt, End{Result: bulrushchute.ResultNotRun, Reason: bulrushchute.ReasonBusy})
					if send = m.Next(0); send.Kind != ActionSend {
						continue
					}
					m.Sent(0, send.Attempt, "y")
				}
				m.Ended(0, send.Attempt, End{Result: bulrushchute.ResultAnswered})
				m.Next(0)
			}
		})
	}
}
