package pollencheck

import (
	"fmt"
	"sync/atomic"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"
)

// Invariant is the name of a property that must hold at all times, as metrics and logs show it.
type Invariant string

// The invariants that programs and tests check.
const (
	// SingleSnapshot requires all rows of an answer to come from the same snapshot.
	SingleSnapshot Invariant = "SingleSnapshot"
	// TruthfulCoverage requires the coverage of an answer to match the shards that it contains.
	TruthfulCoverage Invariant = "TruthfulCoverage"
	// ColdStart requires the requests in flight to a server that warms up to stay within its limit.
	ColdStart Invariant = "ColdStart"
	// ZoneOut requires that an availability zone that was taken out receives no new work.
	ZoneOut Invariant = "ZoneOut"
	// OwnAnswer requires that a request receives its own answer within its timeout.
	OwnAnswer Invariant = "OwnAnswer"
	// NotRun requires that an action reported as not run never runs.
	NotRun Invariant = "NotRun"
	// AtMostOnce requires that no action runs more than once.
	AtMostOnce Invariant = "AtMostOnce"
	// ServerLeaving requires that a draining backend server receives no new work.
	ServerLeaving Invariant = "ServerLeaving"
	// GracefulStop requires that a graceful stop fails no request.
	GracefulStop Invariant = "GracefulStop"
	// ConfigurationInForce requires that an accepted revision is in force on every serving instance.
	ConfigurationInForce Invariant = "ConfigurationInForce"
)

// Violation reports an invariant that did not hold.
type Violation struct {
	Invariant Invariant
	// Detail holds the values that violated the invariant.
	Detail string
}

func (v *Violation) Error() string {
	return fmt.Sprintf("invariant %s violated: %s", v.Invariant, v.Detail)
}

// ViolationsTotal is the Prometheus counter of failed assertions, labelled by invariant.
var ViolationsTotal = prometheus.NewCounterVec(prometheus.CounterOpts{
	Name: "pollen_invariant_violations_total",
	Help: "Failed assertions of each invariant.",
}, []string{"invariant"})

// Assert records a violation if ok is false, and passes it to the handler or, under test without one, panics.
func Assert(ok bool, invariant Invariant, format string, args ...any) {
	if ok {
		return
	}
	violation := &Violation{Invariant: invariant, Detail: fmt.Sprintf(format, args...)}
	violationCount.Add(1)
	ViolationsTotal.WithLabelValues(string(invariant)).Inc()
	klog.ErrorS(violation, "Invariant violated", "invariant", string(invariant))
	if handler := violationHandler.Load(); handler != nil {
		(*handler)(violation)
		return
	}
	if testing.Testing() {
		panic(violation)
	}
}

// SetHandler sets the function that receives violations instead of a panic; nil removes it.
func SetHandler(handler func(*Violation)) {
	if handler == nil {
		violationHandler.Store(nil)
		return
	}
	violationHandler.Store(&handler)
}

// ViolationCount returns the number of violations since the program started.
func ViolationCount() int64 {
	return violationCount.Load()
}

var (
	violationCount   atomic.Int64
	violationHandler atomic.Pointer[func(*Violation)]
)
