package pollenversion

import (
	"runtime/debug"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a build that is stated wrongly, or not at all, where the program was built without version control information.
func TestBuildOf(t *testing.T) {
	vcs := func(revision, modified string) []debug.BuildSetting {
		return []debug.BuildSetting{{Key: "-compiler", Value: "gc"}, {Key: "vcs.modified", Value: modified}, {Key: "vcs.revision", Value: revision}}
	}
	tests := []struct {
		name     string
		settings []debug.BuildSetting
		want     string
	}{
		{"clean", vcs("5871f8a0123456789abcdef", "false"), "5871f8a01234"},
		{"changed files", vcs("5871f8a0123456789abcdef", "true"), "5871f8a01234+dirty"},
		{"short revision", vcs("5871f8a", "false"), "5871f8a"},
		{"empty revision", vcs("", "true"), Unknown},
		{"built without version control information", nil, Unknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) { qt.Assert(t, buildOf(test.settings), qt.Equals, test.want) })
	}
}
