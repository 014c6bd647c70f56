package pollenrollout

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollenline.example/pollen/pollencatalog"
)

// Guards against a driver that writes a state again and again because it does not know it: a later build has stored it, and the driver is
// of this build after an upgrade was taken back. A new order is carried out.
func TestStateOfLaterBuildIsLeftAlone(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1_700_000_000, 0)
	state := &pollencatalog.RolloutState{
		Service: "x", OrderRevision: 20, Target: "v2", Former: []string{"v1"}, State: "Later", Share: 0.3, Step: 7, Start: start, Deadline: start.Add(20 * time.Second), Entered: start,
	}
	facts := Facts{Order: &pollencatalog.RolloutOrder{Service: "x", Target: "v2", Revision: 20, Duration: 20 * time.Second}, State: state, ServiceKnown: true, InForce: []string{"v1"}}
	for _, finding := range []string{"", "bad"} {
		facts.Finding = finding
		for _, after := range []time.Duration{0, 19 * time.Second, time.Minute} {
			next, write := Decide(Policy{Share: 0.1, Slack: 50}, facts, start.Add(after))
			c.Check(write, qt.IsFalse, qt.Commentf("%q, %v", finding, after))
			c.Check(next.State, qt.Equals, "Later")
		}
	}
	facts.Order = &pollencatalog.RolloutOrder{Service: "x", Target: "v2", Revision: 21, Duration: 20 * time.Second}
	next, write := Decide(Policy{}, facts, start.Add(time.Minute))
	c.Check(write, qt.IsTrue)
	c.Check(next.State, qt.Equals, stateCanary)
}
