package pollenrollout

import (
	"time"

	"pollenline.example/pollen/pollencatalog"
)

// Report is what one instance tells the driver about one service while its rollout runs. All counts are those since the order, so
// that reports that are lost, late or doubled do no harm.
type Report struct {
	Instance, Incarnation string
	Service               string
	OrderRevision         uint64
	// OrderAge is for how long the instance has known the order.
	OrderAge time.Duration
	// Step is the step of the state that the instance follows.
	Step int
	// Exposure counts the requests to the target, Total those to all servers of the service.
	Exposure, Total uint64
	// FormerInFlight counts the requests in flight to servers of other versions than the target.
	FormerInFlight int
	Routes         map[string]Pair
}

// Ruling is the driver's answer to a report.
type Ruling struct {
	Service string
	// State is the newest state that the driver knows to be stored; nil if there is none.
	State *pollencatalog.RolloutState
	// Stop says why the instance must send nothing to the target, even if the state does not say so yet; empty if it may.
	Stop string
}

// DriverOf returns the instance that drives the rollout of a service: the first by rendezvous hashing.
func DriverOf(service string, instances []pollencatalog.Instance) (pollencatalog.Instance, bool) {
	return pollencatalog.FirstByRank(instances, service)
}

// ReportInterval is the time between two reports of an instance, and between two decisions of the driver.
const ReportInterval = 250 * time.Millisecond
