package bench

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/model"
)

// smallDeployment returns a deployment that is small enough to simulate in a test.
func smallDeployment() *deployment {
	return &deployment{
		name:          "small",
		zones:         []model.Zone{"suva", "nadi", "lautoka"},
		zoneLatency:   500 * time.Microsecond,
		callerLatency: 3 * time.Millisecond,
		classes:       []model.Class{"browse", "lookup", "filing"},
		services: []serviceSpec{
			{name: "registry", targets: 3, slots: 20, connections: 200, meanWork: 100 * time.Millisecond, classMix: []float64{0.3, 0.7, 0}},
			{name: "tally", targets: 3, slots: 20, connections: 200, meanWork: 100 * time.Millisecond, classMix: []float64{0, 0.4, 0.6}, dependency: "registry", dependencyShare: 0.2},
		},
	}
}

func runSmall(t *testing.T, c benchCase, variantName string) Result {
	t.Helper()
	for _, v := range variants() {
		if v.name == variantName {
			return runOne(smallDeployment(), c, v)
		}
	}
	t.Fatalf("no variant %q", variantName)
	return Result{}
}

// Guards against a policy that misses the goals when the demand doubles and callers
// retry: goodput of at least 97 %, at least 95 % of its fair share for the worst-served
// customer, and recovery within 2 s.
func TestGoalsUnderSurge(t *testing.T) {
	full := variants()[0]
	r := runOne(trustDeployment(), baseCase("surge2", backoffRetry, surge(2)), full)
	assert.Assert(t, r.Goodput >= 0.97, "goodput %.3f", r.Goodput)
	assert.Assert(t, r.WorstCustomerShare >= 0.95, "worst-served customer %.3f", r.WorstCustomerShare)
	assert.Assert(t, r.Recovery <= 2*time.Second, "recovery %s", r.Recovery)
	assert.Equal(t, r.PreTriggerFailures, 0.0)
}

// Guards against a policy that misses the goals of TestGoalsUnderSurge under five times
// the demand, at targets with few slots.
func TestGoalsUnderLargeSurge(t *testing.T) {
	r := runSmall(t, baseCase("surge5", backoffRetry, surge(5)), "full")
	assert.Assert(t, r.Goodput >= 0.97, "goodput %.4f", r.Goodput)
	assert.Assert(t, r.WorstCustomerShare >= 0.95, "worst-served customer %.4f", r.WorstCustomerShare)
	assert.Assert(t, r.Recovery <= 2*time.Second, "recovery %s", r.Recovery)
	assert.Equal(t, r.PreTriggerFailures, 0.0)
}

// Guards against failed first attempts while an availability zone is out of service and
// the others have enough capacity for the demand.
func TestNoFailureWithinFairShareWhileZoneIsOut(t *testing.T) {
	r := runSmall(t, zoneTakenOut("zone", 0.45, func(*fleet) {}), "full")
	assert.Assert(t, r.WithinShareFailures < 0.001, "failures within the fair share %.5f", r.WithinShareFailures)
	assert.Equal(t, r.PreTriggerFailures, 0.0)
}

// Guards against cold targets that crash because they get more calls than they can
// run. The case differs from coldRestartInSurge only in the end of the trigger, which
// does not affect crashes.
func TestColdTargetsDoNotCrashFromLoad(t *testing.T) {
	cold := coldRestart("cold+surge", aggressiveRetry, surge(2))
	assert.Equal(t, runSmall(t, cold, "full").Crashes, 0)
	assert.Assert(t, runSmall(t, cold, "fifo").Crashes > 0, "the case does not stress cold targets")
}

// Guards against nondeterminism of the simulation, with which results for the same seed
// could not be compared.
func TestRunsAreRepeatable(t *testing.T) {
	c := baseCase("greedy", backoffRetry, greedyCustomer)
	c.end, c.runEnd = triggerStart+time.Second, triggerStart+routeTimeout
	assert.DeepEqual(t, runSmall(t, c, "full"), runSmall(t, c, "full"))
}

// Guards against wrong max-min fair shares, from which the fairness measures are
// computed.
func TestMaxMinShares(t *testing.T) {
	assert.DeepEqual(t, maxMinShares([]float64{1, 10, 3, 10}, 12), []float64{1, 4, 3, 4})
	assert.DeepEqual(t, maxMinShares([]float64{1, 2}, 12), []float64{1, 2})
	assert.DeepEqual(t, maxMinShares([]float64{5, 5}, -1), []float64{0, 0})
}
