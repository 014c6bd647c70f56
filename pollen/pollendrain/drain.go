package pollendrain

import (
	"context"
	"sync/atomic"
	"time"
)

// Drain tells the requests of an instance that it stops.
type Drain struct {
	plan  atomic.Pointer[Plan]
	begun context.Context
	begin context.CancelFunc
	over  context.Context
	end   context.CancelFunc
	// refused and ended count the requests that were refused and those that got their final answer early.
	refused, ended atomic.Int64
	open           OpenRequests
}

// New returns the Drain of an instance that is not stopping.
func New() *Drain {
	d := &Drain{}
	d.begun, d.begin = context.WithCancel(context.Background())
	d.over, d.end = context.WithCancel(context.Background())
	return d
}

// Start begins a stop at Plan.Begin; it must be called once.
func (d *Drain) Start(plan Plan) {
	d.plan.Store(&plan)
	d.begin()
	time.AfterFunc(time.Until(plan.LastAnswer), d.end)
}

// Plan returns the times of the stop, or false if the instance is not stopping.
func (d *Drain) Plan() (Plan, bool) {
	if plan := d.plan.Load(); plan != nil {
		return *plan, true
	}
	return Plan{}, false
}

// Stopping reports whether the stop has begun.
func (d *Drain) Stopping() bool { return d.plan.Load() != nil }

// Open returns the open requests of the instance.
func (d *Drain) Open() *OpenRequests { return &d.open }

// Begun returns a context that is done once the stop has begun.
func (d *Drain) Begun() context.Context { return d.begun }

// Over returns a context that is done once open requests must get their final answers.
func (d *Drain) Over() context.Context { return d.over }

// CountRefused counts a request that was refused because of the stop.
func (d *Drain) CountRefused() { d.refused.Add(1) }

// CountEnded counts a request that got its final answer early because of the stop, and may have run.
func (d *Drain) CountEnded() { d.ended.Add(1) }

// Counts returns the numbers of requests that were refused and of those that got their final answer early.
func (d *Drain) Counts() (refused, ended int64) { return d.refused.Load(), d.ended.Load() }

// StoppedError is the cause of a context that ended because the instance stops.
type StoppedError struct{}

func (e *StoppedError) Error() string { return "the instance stops" }
