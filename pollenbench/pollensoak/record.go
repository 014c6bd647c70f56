package pollensoak

import (
	"fmt"
	"sync"
	"time"

	"pollenline.example/platform/pollenstage"
)

// Bounds are the times of the platform's page within which a change must have its effect.
type Bounds struct {
	// Contact is how long an instance must have been undisturbed before it is held to a bound.
	Contact time.Duration
	// Apply, Drain and Evacuate run from the store's answer.
	Apply    time.Duration
	Drain    time.Duration
	Evacuate time.Duration
	// Grace is the time between the signal to stop and the end of a process.
	Grace time.Duration
	// LossSlack is how long after its last byte a request may cross the end of its connection.
	LossSlack time.Duration
	// Recover is the time after the last fault from which requests must be served again, RecoverShare how many.
	Recover      time.Duration
	RecoverShare float64
	// Overrun is by how much the time that a server is given may exceed what the caller has left.
	Overrun time.Duration
}

// platformBounds are those of the users' platform.
var platformBounds = Bounds{
	Contact: 4 * time.Second, Apply: 3 * time.Second, Drain: 3 * time.Second, Evacuate: 5 * time.Second, Grace: 6 * time.Second,
	LossSlack: 200 * time.Millisecond, Recover: 12 * time.Second, RecoverShare: 0.25, Overrun: 500 * time.Millisecond,
}

// everywhere is the place of troubles that concern all instances.
const everywhere = -1

// effect says what a trouble excuses.
type effect int

const (
	// touch is set if instances may be without news of the store.
	touch effect = 1 << iota
	// cuts is set if requests may end early.
	cuts
)

// trouble is a time in which something was disturbed; it lasts until the zero time while it is not over.
type trouble struct {
	// instance is the number of the instance concerned, or everywhere.
	instance   int
	effect     effect
	begin, end time.Time
}

// change is something that an operator or a server told the store.
type change struct {
	// name is the server's or the zone's.
	name  string
	acked time.Time
	// undone is when it was taken back, zero if it was not.
	undone time.Time
}

// version is a configuration with the times at which it was written and acknowledged.
type version struct {
	configuration pollenstage.Configuration
	sent, acked   time.Time
}

// record is what was done and seen in one run.
type record struct {
	mu          sync.Mutex
	bounds      Bounds
	outcomes    []pollenstage.Outcome
	runs        map[string][]*pollenstage.Run
	versions    []*version
	drains      []*change
	evacuations []*change
	troubles    []*trouble
	// instanceOf tells an instance's number by the address that callers use.
	instanceOf map[string]int
	// badStops says which instances did not end well after the signal to stop.
	badStops []string
	// quiet is when the last fault was over.
	quiet time.Time
}

func (r *record) saw(outcome pollenstage.Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes = append(r.outcomes, outcome)
}

// disturb notes a trouble, which lasts until the function that it returns is called.
func (r *record) disturb(instance int, effect effect) func() {
	t := &trouble{instance: instance, effect: effect, begin: time.Now()}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.troubles = append(r.troubles, t)
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		t.end = time.Now()
	}
}

// stopFailed notes an instance that did not end well after the signal to stop.
func (r *record) stopFailed(name string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.badStops = append(r.badStops, fmt.Sprintf("%s: %v", name, err))
}

// inTouch reports whether nothing kept an instance from the store for the contact time before a moment.
func (r *record) inTouch(instance int, at time.Time) bool {
	return !r.disturbed(instance, at.Add(-r.bounds.Contact), at, touch)
}

// undisturbed reports whether nothing could have cut a request that was under way in a span.
func (r *record) undisturbed(instance int, from, to time.Time) bool {
	return !r.disturbed(instance, from.Add(-r.bounds.Contact), to, cuts)
}

func (r *record) disturbed(instance int, from, to time.Time, effect effect) bool {
	for _, t := range r.troubles {
		if t.instance != everywhere && t.instance != instance || t.effect&effect == 0 {
			continue
		}
		if t.begin.Before(to) && (t.end.IsZero() || t.end.After(from)) {
			return true
		}
	}
	return false
}
