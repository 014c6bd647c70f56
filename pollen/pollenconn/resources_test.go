package pollenconn

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against listeners that together leave the process without descriptors or memory of its own.
func TestMaxConnections(t *testing.T) {
	tests := []struct {
		name                      string
		megabytes, descriptors    int
		callers, peers, directory int
	}{
		{"small deployment", 284, 4100, 956, 820, 205},
		{"smallest instance", 136, 2870, 458, 458, 143},
		{"few descriptors", 96, 300, 120, 60, 15},
		{"few descriptors and little memory", 8, 10, 4, 2, 1},
	}
	for _, test := range tests {
		c := qt.New(t)
		r := Resources{MemoryBytes: int64(test.megabytes) << 20, Descriptors: test.descriptors}
		c.Check(r.MaxConnections(CallerShare), qt.Equals, test.callers, qt.Commentf("%s", test.name))
		c.Check(r.MaxConnections(PeerShare), qt.Equals, test.peers, qt.Commentf("%s", test.name))
		c.Check(r.MaxConnections(DirectoryShare), qt.Equals, test.directory, qt.Commentf("%s", test.name))
	}
}
