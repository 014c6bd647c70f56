package pollenroute

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"pollenline.example/pollen/pollenschema"
)

// newTestTable returns a table with instances spread evenly over three zones.
func newTestTable(instances int) *Table {
	t := &Table{Zones: map[string]pollenschema.Admin{"zone-0": pollenschema.Admin_ADMIN_IN, "zone-1": pollenschema.Admin_ADMIN_IN, "zone-2": pollenschema.Admin_ADMIN_IN}}
	for n := range instances {
		t.Instances = append(t.Instances, Instance{Name: fmt.Sprintf("entry-%d", n), Zone: fmt.Sprintf("zone-%d", n%3), Claims: true})
	}
	return t
}

// TestPreferredIsStableWhenInstanceLeaves guards against moving groups whose preferred owner has not left.
func TestPreferredIsStableWhenInstanceLeaves(t *testing.T) {
	c := qt.New(t)
	table := newTestTable(9)
	before := table.Candidates()
	removed := table.Instances[0]
	table.Instances = table.Instances[1:]
	after := table.Candidates()
	owned := 0
	for n := range GroupsPerZone {
		group := Group{Zone: "zone-0", Number: n}
		old, _ := before.Preferred(group)
		c.Assert(old.Zone, qt.Equals, "zone-0")
		if old.Name == removed.Name {
			owned++
			continue
		}
		now, _ := after.Preferred(group)
		c.Assert(now.Name, qt.Equals, old.Name)
	}
	// The removed instance owned a third of the groups, within a tolerance of one third of that.
	c.Check(owned > GroupsPerZone*2/9 && owned < GroupsPerZone*4/9, qt.IsTrue, qt.Commentf("%d groups", owned))
}

// TestPreferredFallsBackToOtherZones guards against groups without an owner while their zone accepts no work.
func TestPreferredFallsBackToOtherZones(t *testing.T) {
	c := qt.New(t)
	table := newTestTable(9)
	table.Zones["zone-0"] = pollenschema.Admin_ADMIN_OUT
	preferred, ok := table.Candidates().Preferred(Group{Zone: "zone-0", Number: 1})
	c.Check(ok, qt.IsTrue)
	c.Check(preferred.Zone, qt.Not(qt.Equals), "zone-0")
	_, ok = (&Table{}).Candidates().Preferred(Group{Zone: "zone-0"})
	c.Check(ok, qt.IsFalse)
}

// TestServiceSpansBoundedNumberOfGroups guards against a fan-out to as many owners as a large service has servers.
func TestServiceSpansBoundedNumberOfGroups(t *testing.T) {
	groups := make(map[Group]bool)
	for n := range 630 {
		groups[GroupOf("zone", "service", fmt.Sprintf("server-%d", n))] = true
	}
	qt.Check(t, len(groups) <= bucketsPerService, qt.IsTrue, qt.Commentf("%d groups", len(groups)))
}

// TestParseGroup guards against zone names with a slash being cut and out-of-range groups being accepted.
func TestParseGroup(t *testing.T) {
	c := qt.New(t)
	group := Group{Zone: "a/b", Number: 7}
	parsed, err := ParseGroup(group.String())
	c.Assert(err, qt.IsNil)
	c.Check(parsed, qt.Equals, group)
	for _, text := range []string{"", "zone", "zone/x", "zone/-1", "zone/512"} {
		_, err := ParseGroup(text)
		var groupError *GroupError
		c.Check(err, qt.ErrorAs, &groupError, qt.Commentf("%q", text))
	}
}
