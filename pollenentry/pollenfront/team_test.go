package pollenfront

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollenline.example/pollen/pollenallowance"
	"pollenline.example/pollen/pollencatalog"
	"pollenline.example/pollen/pollengate"
	"pollenline.example/pollen/pollenrank"
)

// Guards against metrics that mix up teams or count what has not run as use, and against keys in what operators see.
func TestTeamsAreCountedAndListed(t *testing.T) {
	c := qt.New(t)
	m := newMetrics(func() int { return 0 }, func() int { return 0 }, func() pollengate.Counts { return pollengate.Counts{} }, func() pollenrank.Counts { return pollenrank.Counts{} })
	for _, o := range []struct {
		team   string
		status int
	}{{"a", 200}, {"a", 200}, {"a", 502}, {"a", 429}, {"a", 503}, {"b", 200}} {
		m.ObserveTeam(o.team, o.status, 20*time.Millisecond)
	}
	families, err := m.registry.Gather()
	c.Assert(err, qt.IsNil)
	var counted []string
	for _, family := range families {
		for _, metric := range family.Metric {
			if family.GetName() == "pollen_team_requests_total" {
				counted = append(counted, fmt.Sprint(metric.Label[1].GetValue(), metric.Label[0].GetValue(), " ", metric.Counter.GetValue()))
			}
		}
	}
	c.Assert(counted, qt.ContentEquals, []string{"a200 2", "a429 1", "a502 1", "a503 1", "b200 1"})
	configuration := &pollencatalog.Configuration{}
	configuration.SetTeams([]pollencatalog.StatedTeam{
		{Team: pollencatalog.Team{Name: "a", Priority: 1, PerSecond: 18, Burst: 20}, Keys: []string{"hidden"}}, {Team: pollencatalog.Team{Name: "b", RoutePriority: true}},
	})
	data, err := json.Marshal(teamStatuses(configuration.Teams, m.teamUsage, []pollenallowance.Usage{{Name: "a", Admitted: 9}}, time.Now()))
	c.Assert(err, qt.IsNil)
	c.Assert(string(data), qt.Equals, `[{"Name":"a","Priority":1,"PerSecond":18,"Burst":20,"Used":3,"UsedByAll":9,"WindowSeconds":5},{"Name":"b","Priority":null,"PerSecond":0,"Burst":0,"Used":1,"UsedByAll":0,"WindowSeconds":5}]`)
	data, err = json.Marshal(teamStatuses(nil, m.teamUsage, nil, time.Now()))
	c.Assert(err, qt.IsNil)
	c.Assert(string(data), qt.Equals, "[]")
}
