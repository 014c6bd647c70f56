package pollenstore

import (
	"errors"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against comparing revisions that a store gave out twice, and against an order by eras that are not known.
func TestPositionsAreComparedWithinEra(t *testing.T) {
	tests := []struct {
		name    string
		a, b    Position
		newer   bool
		advance Position
	}{
		{name: "later revision", a: Position{1, 8}, b: Position{1, 7}, newer: true, advance: Position{1, 8}},
		{name: "same", a: Position{1, 8}, b: Position{1, 8}, advance: Position{1, 8}},
		{name: "later era", a: Position{2, 5}, b: Position{1, 8}, newer: true, advance: Position{2, 5}},
		{name: "earlier era", a: Position{1, 9}, b: Position{2, 8}, advance: Position{2, 8}},
		{name: "era not known, later revision", a: Position{0, 9}, b: Position{2, 8}, newer: true, advance: Position{2, 9}},
		{name: "other era not known, earlier revision", a: Position{2, 5}, b: Position{0, 8}, advance: Position{2, 8}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			c.Assert(test.a.Newer(test.b), qt.Equals, test.newer)
			c.Assert(test.a.Advance(test.b), qt.Equals, test.advance)
		})
	}
}

// Guards against a failed call that is taken for a lost history, or the reverse.
func TestHistoryGone(t *testing.T) {
	tests := []struct {
		err  error
		want bool
	}{
		{nil, false}, {&CompactedError{Oldest: 1}, true}, {fmt.Errorf("watch: %w", &RestoredError{Before: 1, Era: 2}), true},
		{errors.New("down"), false},
	}
	for _, test := range tests {
		qt.Check(t, HistoryGone(test.err), qt.Equals, test.want, qt.Commentf("%v", test.err))
	}
}
