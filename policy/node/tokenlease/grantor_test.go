package tokenlease

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/core/event"
	"github.com/oleanderworks/oleanderworks/core/invariant"
	"github.com/oleanderworks/oleanderworks/model"
)

// testBuckets holds the buckets of a grantor with one customer, which has a
// rate of 10 tokens per second and a burst of 4, so that the token lifetime is
// 200 ms.
type testBuckets struct {
	*Buckets
	customer model.CustomerConfig
	now      time.Time
}

func newTestBuckets(t *testing.T) *testBuckets {
	b := &testBuckets{now: time.Unix(1_770_000_000, 0)}
	b.customer = model.CustomerConfig{Name: "herders", Rate: 10, Burst: 4}
	b.Buckets = NewBuckets(b.now, 1, invariant.New(event.Discard(), func(name, detail string) { t.Fatal(name, detail) }))
	b.SetLeaseEnd(b.now.Add(time.Hour))
	return b
}

func (b *testBuckets) request(entryNode model.Instance, id uint64, want int, reports ...Report) TokenAnswer {
	return b.Grant(b.now, &b.customer, entryNode, &TokenRequest{Customer: "herders", Want: want, Sequence: id, Reports: reports})
}

// Guards against a new grantor that grants the burst again, and against a full
// bucket that does not grant its whole burst at once.
func TestNewGrantorStartsWithEmptyBucket(t *testing.T) {
	b := newTestBuckets(t)
	assert.Equal(t, b.request("a", 1, 9).Granted, 0)
	b.now = b.now.Add(time.Minute)
	a := b.request("a", 2, 9)
	assert.Equal(t, a.Granted, 4)
	assert.Equal(t, a.Lifetime, 200*time.Millisecond)
	assert.Assert(t, a.RetryAfter > 0)
}

// Guards against tokens that are granted twice for one request, and against
// reports that are counted more than once when they are duplicated or late.
func TestDuplicateMessagesAreIgnored(t *testing.T) {
	b := newTestBuckets(t)
	b.now = b.now.Add(time.Minute)
	assert.Equal(t, b.request("a", 1, 4).Granted, 4)
	assert.Equal(t, b.request("a", 1, 4).Granted, 4)
	assert.Equal(t, b.request("b", 1, 1).Granted, 0)
	for range 2 {
		assert.Equal(t, b.request("a", 0, 0, Report{GrantID: 1, Used: 1, Returned: 2}).Granted, 0)
	}
	assert.Equal(t, b.request("b", 2, 4).Granted, 2)
	b.request("a", 0, 0, Report{GrantID: 1, Used: 1, Returned: 1})
	b.request("a", 0, 0, Report{GrantID: 1, Used: 5})
	assert.Equal(t, b.request("b", 3, 1).Granted, 0)
}

// Guards against tokens that stay outstanding forever when their entry node is
// lost, and against tokens that remain valid after the lease.
func TestTokensExpireWithLifetimeAndLease(t *testing.T) {
	b := newTestBuckets(t)
	b.now = b.now.Add(time.Minute)
	assert.Equal(t, b.request("a", 1, 4).Granted, 4)
	b.now = b.now.Add(200*time.Millisecond + 300*time.Millisecond)
	assert.Equal(t, b.request("b", 1, 9).Granted, 3)
	b.SetLeaseEnd(b.now.Add(50 * time.Millisecond))
	b.request("b", 0, 0, Report{GrantID: 1, Returned: 3})
	assert.Equal(t, b.request("b", 2, 1).Lifetime, 50*time.Millisecond)
	b.SetLeaseEnd(b.now)
	assert.Equal(t, b.request("b", 3, 1).Granted, 0)
}

// Guards against a bucket that keeps its level when the burst is lowered.
func TestChangedRateLimitAppliesImmediately(t *testing.T) {
	b := newTestBuckets(t)
	b.now = b.now.Add(time.Minute)
	b.request("a", 1, 1)
	b.customer.Burst = 2
	assert.Equal(t, b.request("a", 2, 9).Granted, 1)
}

// Guards against a refunded token that is also reported as used, and against
// tokens that are used after they have expired.
func TestBalanceReportsEachTokenOnce(t *testing.T) {
	now := time.Unix(1_770_000_000, 0)
	b := NewBalances()
	b.OnResult(now, Result{Customer: "herders", Grant: Grant{Customer: "herders", ID: 7, Count: 3, Expiry: now.Add(time.Second)}})
	first, _ := b.Take(now, "herders")
	second, _ := b.Take(now, "herders")
	b.MarkUsed(now, "herders", first)
	b.Refund(now, "herders", second)
	assert.DeepEqual(t, b.TakeReports(now, "herders"), []Report{{GrantID: 7, Used: 1}})
	assert.Equal(t, b.Available(now, "herders"), 2)
	idle := now.Add(prefetchTime)
	assert.DeepEqual(t, b.TakeReports(idle, "herders"), []Report{{GrantID: 7, Used: 1, Returned: 2}})
	_, ok := b.Take(idle, "herders")
	assert.Assert(t, !ok)
	b.Refund(now.Add(time.Second), "herders", first)
	assert.Equal(t, b.Available(now.Add(time.Second), "herders"), 0)
}

// Guards against merging two grants, so that the tokens of the later one are
// lost at the expiry of the earlier one. This happened to grants without ids.
func TestGrantsKeepSeparateExpiries(t *testing.T) {
	now := time.Unix(1_770_000_000, 0)
	b := NewBalances()
	for _, lifetime := range []time.Duration{time.Second, 2 * time.Second} {
		b.OnResult(now, Result{Customer: "herders", Grant: Grant{Customer: "herders", Count: 1, Expiry: now.Add(lifetime)}})
	}
	assert.Equal(t, b.Available(now, "herders"), 2)
	assert.Equal(t, b.Available(now.Add(time.Second), "herders"), 1)
}
