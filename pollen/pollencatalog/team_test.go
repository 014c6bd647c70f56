package pollencatalog

import (
	"fmt"
	"math"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a key that works for another team than the first that holds it, against limits that no number stands for, and
// against keys in the descriptions of problems.
func TestStatedTeamsAndTheirProblems(t *testing.T) {
	one := StatedTeam{Team: Team{Name: "one", Priority: 1, PerSecond: 18, Burst: 20}, Keys: []string{"secret-1", "secret-2"}}
	limits := func(perSecond, burst float64) []StatedTeam {
		return []StatedTeam{{Team: Team{Name: "one", PerSecond: perSecond, Burst: burst}}}
	}
	tests := []struct {
		name   string
		stated []StatedTeam
		// teams holds names, rates and bursts; holders the team of each key that is known.
		teams    string
		holders  map[string]string
		problems int
	}{
		{"one team", []StatedTeam{one}, "one 18 20", map[string]string{"secret-1": "one", "secret-2": "one"}, 0},
		{"a key of two teams", []StatedTeam{one, {Team: Team{Name: "two"}, Keys: []string{"secret-2", "secret-3"}}}, "one 18 20,two 0 0", map[string]string{"secret-1": "one", "secret-2": "one", "secret-3": "two"}, 1},
		{"a key twice in a team", []StatedTeam{{Team: Team{Name: "one"}, Keys: []string{"secret-1", "secret-1"}}}, "one 0 0", map[string]string{"secret-1": "one"}, 0},
		{"negative rate", limits(-1, 20), "one 0 0", nil, 1},
		{"infinite rate", limits(math.Inf(1), 20), "one 0 0", nil, 1},
		{"burst that is no number", limits(5, math.NaN()), "one 0 0", nil, 1},
		{"negative burst", limits(5, -20), "one 0 0", nil, 1},
		{"a name twice", []StatedTeam{one, {Team: Team{Name: "one", PerSecond: 99}, Keys: []string{"secret-3"}}}, "one 18 20", map[string]string{"secret-1": "one", "secret-2": "one", "secret-3": "one"}, 1},
		{"names that no header field holds", []StatedTeam{
			{Team: Team{Name: ""}, Keys: []string{"secret-3"}}, {Team: Team{Name: "a\r\nTenant: b"}}, {Team: Team{Name: " padded"}}, one,
		}, "one 18 20", map[string]string{"secret-1": "one", "secret-2": "one"}, 3},
		{"keys that no request carries", []StatedTeam{{Team: Team{Name: "one"}, Keys: []string{"", "secret 1", "secret-\n", strings.Repeat("secret-", 100), "secret-4"}}}, "one 0 0", map[string]string{"secret-4": "one"}, 4},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			configuration := &Configuration{}
			configuration.SetTeams(test.stated)
			var teams []string
			for _, team := range configuration.Teams {
				teams = append(teams, fmt.Sprint(team.Name, " ", team.PerSecond, " ", team.Burst))
			}
			c.Assert(strings.Join(teams, ","), qt.Equals, test.teams)
			for _, key := range []string{"", "secret 1", "secret-\n", "secret-0", "secret-1", "secret-2", "secret-3", "secret-4"} {
				team, ok := configuration.TeamByKey(key)
				want, known := test.holders[key]
				c.Assert(ok, qt.Equals, known, qt.Commentf("%q", key))
				c.Assert(!ok || team.Name == want, qt.IsTrue, qt.Commentf("%q", key))
			}
			c.Assert(configuration.Problems, qt.HasLen, test.problems)
			c.Assert(fmt.Sprintf("%v %+v", configuration.Problems, configuration), qt.Not(qt.Contains), "secret")
		})
	}
}
