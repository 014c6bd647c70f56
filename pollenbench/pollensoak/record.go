package pollensoak

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"pollenline.example/platform/pollenfakeplatform"
)

// Bounds holds the times and shares, as the platform specifies them, against which the promises are checked.
type Bounds struct {
	// Reconnect is how long after a disturbance an instance is exempt from the bounds.
	Reconnect time.Duration
	// Apply, Drain and Evacuate are the times from the store's acknowledgement of a change until it must be in effect.
	Apply    time.Duration
	Drain    time.Duration
	Evacuate time.Duration
	// StopTimeout is the time from the stop signal until the process must have exited.
	StopTimeout time.Duration
	// CloseRace is how long after it was sent a request may still be lost to a concurrent close of its connection.
	CloseRace time.Duration
	// Recovery is the time after the last fault from which at least MinRecoveredShare of requests must succeed.
	Recovery          time.Duration
	MinRecoveredShare float64
	// LimitNotice is the time after which a limit that a server states must be kept. In any LimitPeriod the server may then get
	// LimitFactor times what the limit allows, and LimitSlack requests more.
	LimitNotice, LimitPeriod time.Duration
	LimitFactor, LimitSlack  float64
	// RefusalNotice is how long after a refusal that states a pause requests may still arrive, MaxPausedRequests the number of requests
	// of one instance that may arrive later during the pause.
	RefusalNotice     time.Duration
	MaxPausedRequests int
	// MaxDeadlyRequests is the number of requests of a deadly caller that may reach servers later than Reconnect after the third
	// server has ended.
	MaxDeadlyRequests int
	// MinCutShare is the least share, of that of other instances, of requests that an instance must serve from Reconnect after it
	// was cut off from the servers; CutSlack and CutSlackShare are the number and the share of all requests that may fail before
	// that counts.
	MinCutShare, CutSlackShare float64
	CutSlack                   int
	// DeadlineSlack is by how much the timeout passed to a server may exceed the caller's remaining time.
	DeadlineSlack time.Duration
}

// platformBounds are the bounds of the users' platform.
var platformBounds = Bounds{
	Reconnect: 4 * time.Second, Apply: 3 * time.Second, Drain: 3 * time.Second, Evacuate: 5 * time.Second, StopTimeout: 6 * time.Second,
	CloseRace: 200 * time.Millisecond, Recovery: 12 * time.Second, MinRecoveredShare: 0.25, DeadlineSlack: 500 * time.Millisecond,
	LimitNotice: 4 * time.Second, LimitPeriod: 4 * time.Second, LimitFactor: 1.5, LimitSlack: 5,
	RefusalNotice: 500 * time.Millisecond, MaxPausedRequests: 2,
	MaxDeadlyRequests: 3, MinCutShare: 2.0 / 3, CutSlack: 10, CutSlackShare: 1.0 / 50,
}

// allInstances is the instance number of disturbances that affect all instances.
const allInstances = -1

// effect is a set of flags that say which checks a disturbance suspends.
type effect int

const (
	// disturbsStore is set if instances may miss updates from the store.
	disturbsStore effect = 1 << iota
	// disturbsRequests is set if requests may be interrupted or delayed.
	disturbsRequests
	// disturbsPace is set if requests may reach servers later than they were sent, or from instances that have just started.
	disturbsPace
	// disturbsLinks is set if requests to servers may be held up on the way.
	disturbsLinks
)

// disturbance is a period in which a fault was active. Its end is zero while the fault lasts.
type disturbance struct {
	// instance is the number of the affected instance, or allInstances.
	instance   int
	effect     effect
	begin, end time.Time
}

// change is a drain or an evacuation that was written to the store.
type change struct {
	// name is the ID of the drained server or the name of the evacuated zone.
	name    string
	ackedAt time.Time
	// revertedAt is when the revert began, zero if the change was not reverted.
	revertedAt time.Time
}

// statedLimit is a limit that a server stated in its answers for a time.
type statedLimit struct {
	server    string
	perSecond float64
	from, to  time.Time
}

// cut is a time in which an instance reached no servers.
type cut struct {
	instance int
	from, to time.Time
}

// version is a configuration with the times at which it was sent to the store and acknowledged.
type version struct {
	configuration   pollenfakeplatform.Configuration
	sentAt, ackedAt time.Time
}

// record holds the operations and observations of one run.
type record struct {
	mu           sync.Mutex
	bounds       Bounds
	outcomes     []pollenfakeplatform.Outcome
	runs         map[string][]*pollenfakeplatform.Run
	versions     []*version
	drains       []*change
	evacuations  []*change
	limits       []statedLimit
	refusals     []pollenfakeplatform.Refusal
	disturbances []*disturbance
	// deadlyEnds holds when servers ended under the requests of a deadly caller, by its name; cuts holds when instances were cut
	// off from the servers.
	deadlyEnds map[string][]time.Time
	cuts       []cut
	// instanceByAddress maps the address that callers use to the instance's number.
	instanceByAddress map[string]int
	// stops holds the planned stops of LoadStops; received holds when servers first received requests, by their IDs.
	stops    []*stop
	received map[string]time.Time
	// stopFailures describes the graceful stops that failed or timed out.
	stopFailures []string
	// faultsEndedAt is when the last fault ended.
	faultsEndedAt time.Time
}

func (r *record) addOutcome(outcome pollenfakeplatform.Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes = append(r.outcomes, outcome)
}

// beginDisturbance records a disturbance that lasts until the returned function is called.
func (r *record) beginDisturbance(instance int, effect effect) func() {
	d := &disturbance{instance: instance, effect: effect, begin: time.Now()}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disturbances = append(r.disturbances, d)
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		d.end = time.Now()
	}
}

// addDeadlyEnd records that a server ended under a request of a deadly caller.
func (r *record) addDeadlyEnd(caller string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.deadlyEnds == nil {
		r.deadlyEnds = make(map[string][]time.Time)
	}
	r.deadlyEnds[caller] = append(r.deadlyEnds[caller], time.Now())
}

// addStopFailure records a graceful stop that failed or timed out.
func (r *record) addStopFailure(name string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopFailures = append(r.stopFailures, fmt.Sprintf("%s: %v", name, err))
}

// storeUndisturbed reports whether no disturbance kept an instance from the store during the Reconnect bound before at.
func (r *record) storeUndisturbed(instance int, at time.Time) bool {
	return !r.overlapsDisturbance(instance, at.Add(-r.bounds.Reconnect), at, disturbsStore)
}

// requestsUndisturbed reports whether no disturbance could have interrupted or delayed a request in flight between two
// times. A disturbance counts until the Reconnect bound after its end.
func (r *record) requestsUndisturbed(instance int, from, to time.Time) bool {
	return !r.overlapsDisturbance(instance, from.Add(-r.bounds.Reconnect), to, disturbsRequests)
}

// overlapsDisturbance reports whether a disturbance with the effect affected the instance between two times.
func (r *record) overlapsDisturbance(instance int, from, to time.Time, effect effect) bool {
	for _, d := range r.disturbances {
		if d.instance != allInstances && d.instance != instance || d.effect&effect == 0 {
			continue
		}
		if d.begin.Before(to) && (d.end.IsZero() || d.end.After(from)) {
			return true
		}
	}
	return false
}

// linksDisturbed reports whether any instance's requests to servers may have been held up between two times. A request may have
// reached the server from another instance than the one that its caller sent it to.
func (r *record) linksDisturbed(from, to time.Time) bool {
	return slices.ContainsFunc(r.disturbances, func(d *disturbance) bool { return r.overlapsDisturbance(d.instance, from, to, disturbsLinks) })
}
