package pollenconn

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a crowd that takes the connections of ordinary callers.
func TestChoose(t *testing.T) {
	now := time.Unix(1000, 0)
	before := func(d time.Duration) time.Time { return now.Add(-d) }
	waiting := func(d time.Duration) State { return State{Phase: Waiting, Since: before(d)} }
	reading := func(d time.Duration) State { return State{Phase: Reading, Since: before(d)} }
	idle := func(d time.Duration) State { return State{Phase: Idle, Since: before(d)} }
	serving := func(d time.Duration) State { return State{Phase: Serving, Since: before(d)} }
	blocked := func(d time.Duration) State {
		return State{Phase: Serving, Since: before(time.Minute), BlockedSince: before(d)}
	}
	tests := []struct {
		name   string
		states []State
		want   int
	}{
		{"none is open", nil, none},
		{"all are served", []State{serving(time.Hour), serving(time.Second)}, none},
		{"silent for longest", []State{waiting(2 * time.Second), waiting(3 * time.Second), idle(time.Hour)}, 1},
		{"head that comes for longest", []State{waiting(2 * time.Second), reading(4 * time.Second), serving(time.Hour)}, 1},
		{"idle before a caller that has just connected", []State{waiting(time.Millisecond), idle(time.Millisecond)}, 1},
		{"idle for longest", []State{idle(time.Second), idle(2 * time.Second), reading(500 * time.Millisecond)}, 1},
		{"oldest incomplete request", []State{reading(10 * time.Millisecond), waiting(20 * time.Millisecond), serving(time.Hour)}, 1},
		{"incomplete request before an unread answer", []State{blocked(time.Minute), reading(time.Millisecond)}, 1},
		{"answer that is unread for longest", []State{blocked(2 * time.Second), blocked(3 * time.Second), serving(time.Hour)}, 1},
		{"answer that is being read", []State{blocked(100 * time.Millisecond), serving(time.Hour)}, none},
	}
	for _, test := range tests {
		qt.Check(t, choose(test.states, now), qt.Equals, test.want, qt.Commentf("%s", test.name))
	}
}

// Guards against a crowd that holds all connections by sending one request after the other.
func TestChooseRetiring(t *testing.T) {
	serving := func(answers int, retiring bool) State {
		return State{Phase: Serving, Answers: answers, Retiring: retiring}
	}
	tests := []struct {
		name   string
		states []State
		want   int
	}{
		{"none is open", nil, none},
		{"none is served", []State{{Phase: Idle, Answers: 9}, {Phase: Reading}}, none},
		{"most answers", []State{serving(1, false), serving(7, false), serving(3, false)}, 1},
		{"most answers that is not retiring", []State{serving(1, false), serving(7, true), serving(3, false)}, 2},
		{"all are retiring", []State{serving(1, true), serving(7, true)}, none},
	}
	for _, test := range tests {
		qt.Check(t, chooseRetiring(test.states), qt.Equals, test.want, qt.Commentf("%s", test.name))
	}
}
