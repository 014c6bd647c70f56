package pollenrollout

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollenline.example/pollen/pollencatalog"
)

const testDuration = 30 * time.Second

// start runs a fleet up to a time after the order.
func startFleet(seed uint64, target behaviour, until time.Duration) *fleet {
	f := newFleet(seed, 6, 40, target)
	f.run(f.start.Add(200*time.Millisecond), "v1", "v2")
	f.command("v2", testDuration)
	f.run(f.start.Add(until), "v1", "v2")
	return f
}

// TestDriverIsLost guards against a rollout that stalls, jumps in its share or ends wrong when its driver is lost before a write, with the
// write applied but its answer lost, or after it, and the next instance takes over three seconds later.
func TestDriverIsLost(t *testing.T) {
	tests := []struct {
		name          string
		apply, answer bool
	}{
		{"before the write", false, false},
		{"answer lost", true, false},
		{"after the write", true, true},
	}
	for _, test := range tests {
		for write := 1; write <= 8; write++ {
			for _, good := range []bool{true, false} {
				c := qt.New(t)
				target, want := bad(0, 0, always), stateCompleted
				if !good {
					target, want = bad(0.3, 0, late), stateRolledBack
				}
				f := newFleet(uint64(write), 6, 40, target)
				lostAt := time.Time{}
				f.store.fault = func(n int) (bool, bool) {
					if n != write {
						return true, true
					}
					lostAt = f.now
					f.instances[0].dead, f.driver = true, -1
					return test.apply, test.answer
				}
				f.run(f.start.Add(200*time.Millisecond), "v1", "v2")
				f.command("v2", testDuration)
				for end := f.now.Add(testDuration); f.now.Before(end); {
					f.run(f.now.Add(ReportInterval), "v1", "v2")
					if f.driver < 0 && f.now.Sub(lostAt) >= 3*time.Second {
						f.driver = 1
					}
				}
				c.Assert(lostAt.IsZero() && good, qt.IsFalse)
				c.Assert(f.store.state.State, qt.Equals, want, qt.Commentf("%s, write %d: %s", test.name, write, f.store.state.Cause))
				if !good {
					c.Assert(float64(f.exposure) <= 0.1*float64(f.total)+50, qt.IsTrue, qt.Commentf("%s, write %d: %d of %d", test.name, write, f.exposure, f.total))
				}
				for i := 1; i < len(f.store.history); i++ {
					a, b := f.store.history[i-1], f.store.history[i]
					if a.State == stateCanary && b.State == stateCanary {
						c.Assert(b.Share >= a.Share/2-1e-9 && b.Share <= 2*max(a.Share, 0.01)+1e-9, qt.IsTrue, qt.Commentf("%s, write %d: share %v then %v", test.name, write, a.Share, b.Share))
					}
				}
			}
		}
	}
}

// TestShareIsKeptAtTakeover guards against a new driver that starts from another share than the stored one.
func TestShareIsKeptAtTakeover(t *testing.T) {
	c := qt.New(t)
	f := startFleet(1, bad(0, 0, always), 15*time.Second)
	before := f.store.state.Share
	c.Assert(before > 0 && before < 0.1, qt.IsTrue, qt.Commentf("share %v", before))
	f.driver = -1
	exposure, total := f.exposure, f.total
	f.run(f.now.Add(3*time.Second), "v1", "v2")
	meanwhile := float64(f.exposure-exposure) / float64(f.total-total)
	f.driver = 3
	f.run(f.now.Add(time.Second), "v1", "v2")
	c.Assert(math.Abs(f.store.state.Share-before) < 0.05, qt.IsTrue, qt.Commentf("share %v before, %v after", before, f.store.state.Share))
	c.Assert(meanwhile < 0.12, qt.IsTrue, qt.Commentf("share of the target without a driver: %v", meanwhile))
}

// TestInstancesStopWithoutDriver guards against a bad version that gets requests while no driver decides: each instance stops by its own
// evidence, and none sends longer than the rollback delay without an answer of the driver.
func TestInstancesStopWithoutDriver(t *testing.T) {
	c := qt.New(t)
	f := startFleet(2, bad(0.5, 0, func(f *fleet, _, _ string) bool { return f.now.Sub(f.start) > 10*time.Second }), 10*time.Second)
	f.driver = -1
	f.run(f.now.Add(4*time.Second), "v1", "v2")
	exposure := f.exposure
	f.run(f.now.Add(20*time.Second), "v1", "v2")
	c.Assert(f.exposure, qt.Equals, exposure)
	c.Assert(f.store.state.State, qt.Equals, stateCanary)
}

// TestOrdersInSeries guards against a target that keeps its requests when the next order replaces it, and against a version without an
// order that gets some.
func TestOrdersInSeries(t *testing.T) {
	c := qt.New(t)
	f := startFleet(3, bad(0, 0, always), 8*time.Second)
	f.command("v3", testDuration)
	f.run(f.now.Add(2*time.Second), "v1", "v2", "v3")
	c.Assert(f.store.state.Target, qt.Equals, "v3")
	c.Assert(f.store.state.Former, qt.DeepEquals, []string{"v1"})
	f.run(f.now.Add(testDuration-2*time.Second), "v1", "v2", "v3")
	c.Assert(f.store.state.State, qt.Equals, stateCompleted)
	for _, choice := range []Choice{Any, FirstToTarget, FirstToFormer, Repeat} {
		c.Assert(versionsOf(f, 0, choice), qt.DeepEquals, map[string]bool{"v3": true})
	}
	// A version that no order has named gets nothing, and a bad next order moves no traffic.
	f.run(f.now.Add(2*time.Second), "v3", "v4")
	c.Assert(versionsOf(f, 0, Any), qt.DeepEquals, map[string]bool{"v3": true})
	f.command("", testDuration)
	f.order.Problem = "the order names no version"
	f.run(f.now.Add(2*time.Second), "v3", "v4")
	c.Assert(f.store.state.State, qt.Equals, stateRolledBack)
	c.Assert(f.store.state.Problem, qt.Equals, "the order names no version")
	c.Assert(versionsOf(f, 0, Any), qt.DeepEquals, map[string]bool{"v3": true})
}

// versionsOf returns the versions of the servers that an instance admits.
func versionsOf(f *fleet, instance int, choice Choice) map[string]bool {
	n := f.instances[instance]
	versions := make(map[string]bool)
	for _, server := range n.router.Admit(n.table.AppendEligible(nil, testService), testService, choice, f.now) {
		versions[server.Version] = true
	}
	return versions
}

// TestLateInstanceLearnsVersions guards against an instance that starts during or after a rollout and takes the target for the former
// version.
func TestLateInstanceLearnsVersions(t *testing.T) {
	order := &pollencatalog.RolloutOrder{Service: testService, Target: "v2", Revision: 5, Duration: time.Minute}
	state := func(name string) *pollencatalog.RolloutState {
		return &pollencatalog.RolloutState{Service: testService, OrderRevision: 5, Target: "v2", Former: []string{"v1"}, State: name, Step: 1, Share: 0.05, Deadline: time.Unix(2000, 0), Revision: 6}
	}
	tests := []struct {
		name     string
		order    *pollencatalog.RolloutOrder
		state    *pollencatalog.RolloutState
		versions []string
		want     map[string]bool
	}{
		{"neither order nor state", nil, nil, []string{"v1", "v2"}, map[string]bool{"v1": true}},
		{"order only", order, nil, []string{"v1", "v2"}, map[string]bool{"v1": true}},
		{"order only, target started first", order, nil, []string{"v2", "v1"}, map[string]bool{"v1": true}},
		{"canary, no contact to the driver", order, state(stateCanary), []string{"v1", "v2"}, map[string]bool{"v1": true}},
		{"rolled back", order, state(stateRolledBack), []string{"v1", "v2"}, map[string]bool{"v1": true}},
		{"rolled back, only the target left", order, state(stateRolledBack), []string{"v2"}, map[string]bool{}},
		{"rolled back, next version started", order, state(stateRolledBack), []string{"v1", "v2", "v3"}, map[string]bool{"v1": true}},
		{"completed", order, state(stateCompleted), []string{"v1", "v2"}, map[string]bool{"v2": true}},
		{"completed, target gone", order, state(stateCompleted), []string{"v3"}, map[string]bool{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(1, 1, 10, nil)
			f.instances[0].router = NewRouter(RouterConfig{Policy: f.policy, Instance: "entry-0"})
			f.order = test.order
			if test.state != nil {
				f.store.state = *test.state
			}
			f.publish(test.versions...)
			qt.Assert(t, versionsOf(f, 0, Any), qt.DeepEquals, test.want)
		})
	}
}

// TestUnusableOrdersMoveNothing guards against an order that can't be carried out and gets no answer, or moves traffic.
func TestUnusableOrdersMoveNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	order := pollencatalog.RolloutOrder{Service: "x", Target: "v2", Duration: time.Minute, Revision: 3}
	unusable := order
	unusable.Problem = "no version"
	tests := []struct {
		name  string
		facts Facts
		state string
	}{
		{"usable", Facts{Order: &order, ServiceKnown: true, InForce: []string{"v1"}}, stateCanary},
		{"not usable", Facts{Order: &unusable, ServiceKnown: true, InForce: []string{"v1"}}, stateRolledBack},
		{"unknown service", Facts{Order: &order}, stateRolledBack},
		{"version has all traffic", Facts{Order: &order, ServiceKnown: true, InForce: []string{"v2"}}, stateCompleted},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			next, ok := Decide(Policy{Share: 0.1, Slack: 50}, test.facts, now)
			qt.Assert(t, ok, qt.IsTrue)
			qt.Assert(t, next.State, qt.Equals, test.state)
			qt.Assert(t, next.Problem != "", qt.Equals, test.state == stateRolledBack)
		})
	}
}

// TestFewRequestsComplete guards against a rollout without requests that never ends, and one without servers that completes.
func TestFewRequestsComplete(t *testing.T) {
	c := qt.New(t)
	f := newFleet(4, 6, 0.2, bad(0, 0, always))
	f.command("v2", 20*time.Second)
	f.run(f.now.Add(20*time.Second), "v1", "v2")
	c.Assert(f.store.state.State, qt.Equals, stateCompleted)
	f = newFleet(4, 6, 20, bad(0, 0, always))
	f.command("v2", 20*time.Second)
	f.run(f.now.Add(20*time.Second), "v1")
	c.Assert(f.store.state.State, qt.Equals, stateRolledBack)
}

// TestOneBadServerIsNoBadVersion guards against a version that is rolled back for what one of its servers does, and against one that is
// kept although its only server is bad.
func TestOneBadServerIsNoBadVersion(t *testing.T) {
	tests := []struct {
		name string
		// failures holds the failures of 20 requests to each server.
		failures []uint64
		bad      bool
	}{
		{"one of three", []uint64{15, 0, 0}, false},
		{"all", []uint64{5, 5, 5}, true},
		{"the only one", []uint64{15}, true},
		{"none", []uint64{0, 0, 0}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d, finding := NewDetector(), ""
			for batch := range uint64(5) {
				pair := Pair{Target: make(map[string]Counts), Former: Counts{Requests: 100 * (batch + 1)}}
				for i, failures := range test.failures {
					pair.Target[string(rune('a'+i))] = Counts{Requests: 4 * (batch + 1), Failures: failures * (batch + 1) / 5}
				}
				finding = d.Update(map[string]Pair{"route": pair}, time.Unix(int64(batch), 0))
			}
			qt.Assert(t, finding != "", qt.Equals, test.bad, qt.Commentf("%s", finding))
		})
	}
}

// TestUndecidedRolloutExpires guards against a completion after the instances have returned to the former servers at the deadline.
func TestUndecidedRolloutExpires(t *testing.T) {
	now := time.Unix(1000, 0)
	order := &pollencatalog.RolloutOrder{Service: "x", Target: "v2", Duration: time.Minute, Revision: 3}
	state := &pollencatalog.RolloutState{Service: "x", OrderRevision: 3, Target: "v2", State: stateWidening, Share: 1, Step: 4, Deadline: now.Add(-2 * time.Second)}
	next, ok := Decide(Policy{Share: 0.1, Slack: 50}, Facts{Order: order, State: state, ServiceKnown: true, TargetServers: 3, Adopted: true}, now)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, next.State, qt.Equals, stateRolledBack)
}

// TestCompletedRolloutIsNotExpired guards against a rollout that is rolled back by a driver that has it from an older copy of the store,
// while a later record says that its target is in force.
func TestCompletedRolloutIsNotExpired(t *testing.T) {
	order := &pollencatalog.RolloutOrder{Service: "x", Target: "v2", Duration: time.Minute, Revision: 3}
	for _, name := range []string{stateCanary, stateWidening} {
		state := &pollencatalog.RolloutState{Service: "x", OrderRevision: 3, Target: "v2", Former: []string{"v1"}, State: name, Step: 4, Deadline: time.Unix(1000, 0)}
		next, ok := Decide(Policy{Share: 0.1, Slack: 50}, Facts{Order: order, State: state, ServiceKnown: true, InForce: []string{"v2"}}, time.Unix(2000, 0))
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, next.State, qt.Equals, stateCompleted)
	}
}
