package pollencatalog

import (
	"maps"
	"slices"
	"time"
)

// RolloutOrder is an operator's order to move the traffic of a service to servers of another version.
type RolloutOrder struct {
	Service string
	// Target is the version that is to get the traffic.
	Target string
	// Duration is the time within which the order must be completed or rolled back.
	Duration time.Duration
	// Revision is the store revision at which the order was written.
	Revision uint64
	// Problem says why the order can't be carried out; empty if it can.
	Problem string
}

// RolloutState is the state of the rollout of a service. It is stored as JSON under the names of its fields.
type RolloutState struct {
	Service string
	// OrderRevision is the revision of the order that the state belongs to.
	OrderRevision uint64
	Target        string
	// Former lists the versions that had the traffic before the order.
	Former []string
	// State is a state of the chart "rollout".
	State string
	// Share is the share of first requests that go to the target.
	Share float64
	// Step rises with each write of the state under the same order.
	Step     int
	Start    time.Time
	Deadline time.Time
	// Entered is when the state was entered, or the share last set.
	Entered time.Time
	// Exposure is the number of requests that were sent to the target, Total that of all requests to the service.
	Exposure, Total uint64
	// TargetEvidence and FormerEvidence are the evidence on which the last step was decided.
	TargetEvidence, FormerEvidence RolloutEvidence
	// Cause says why the state was entered.
	Cause string
	// Problem says why the order could not be carried out; empty if it could.
	Problem string
	// Revision is the store revision of the state's key; it is not part of the stored value.
	Revision uint64 `json:"-"`
}

// RolloutEvidence sums up what the servers of a version did.
type RolloutEvidence struct {
	Requests, Failures, Slow uint64
}

// VersionRecord says which versions of a service have its traffic where no state of a rollout says it. It is stored as JSON under the names
// of its fields.
type VersionRecord struct {
	Service  string
	Versions []string
	// OrderRevision is the revision of the last order that the versions account for; zero if none does, as they were learned from the list
	// of servers.
	OrderRevision uint64
	// Guessed is set if servers of several versions were listed when the versions were learned.
	Guessed bool
	// At is when the record was written.
	At time.Time
	// Revision is the store revision of the record's key; it is not part of the stored value.
	Revision uint64 `json:"-"`
}

// Rollout holds what the store says of the rollout and the versions of one service.
type Rollout struct {
	// Order is nil if there is none, State and Record if none was stored.
	Order  *RolloutOrder
	State  *RolloutState
	Record *VersionRecord
}

// Rollout returns what the store says of the rollout of a service.
func (t *Table) Rollout(service string) Rollout { return t.rollouts[service] }

// RolloutServices returns the services for which there is an order, a state of a rollout or a record of the version in force.
func (t *Table) RolloutServices() []string { return t.rolloutServices }

// ServersOf returns all servers of a service, ordered by ID; the caller must not change the slice.
func (t *Table) ServersOf(service string) []*Server { return t.servers[service] }

// Services returns the names of the services that have servers, in no particular order.
func (t *Table) Services() []string {
	return slices.Collect(maps.Keys(t.servers))
}

// indexRollouts returns the rollouts by service, and the services in order.
func indexRollouts(orders []*RolloutOrder, states []*RolloutState, records []*VersionRecord) (map[string]Rollout, []string) {
	rollouts := make(map[string]Rollout, max(len(orders), len(states), len(records)))
	for _, o := range orders {
		r := rollouts[o.Service]
		r.Order = o
		rollouts[o.Service] = r
	}
	for _, s := range states {
		r := rollouts[s.Service]
		r.State = s
		rollouts[s.Service] = r
	}
	for _, record := range records {
		r := rollouts[record.Service]
		r.Record = record
		rollouts[record.Service] = r
	}
	return rollouts, slices.Sorted(maps.Keys(rollouts))
}
