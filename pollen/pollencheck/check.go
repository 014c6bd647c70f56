package pollencheck

import (
	"fmt"
	"sync/atomic"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"
)

// Invariant names a property that must always hold.
type Invariant string

// The invariants that the programs assert.
const (
	SingleSnapshot       Invariant = "SingleSnapshot"
	TruthfulCoverage     Invariant = "TruthfulCoverage"
	ColdStart            Invariant = "ColdStart"
	ZoneOut              Invariant = "ZoneOut"
	OwnAnswer            Invariant = "OwnAnswer"
	NotRun               Invariant = "NotRun"
	AtMostOnce           Invariant = "AtMostOnce"
	ServerLeaving        Invariant = "ServerLeaving"
	GracefulStop         Invariant = "GracefulStop"
	ConfigurationInForce Invariant = "ConfigurationInForce"
)

// Violation reports that an invariant did not hold.
type Violation struct {
	Invariant Invariant
	Detail    string
}

func (v *Violation) Error() string {
	return fmt.Sprintf("invariant %s violated: %s", v.Invariant, v.Detail)
}

// Violations counts failed assertions for each invariant.
var Violations = prometheus.NewCounterVec(prometheus.CounterOpts{
	Name: "pollen_invariant_violations_total",
	Help: "Failed assertions of each invariant.",
}, []string{"invariant"})

// Assert records a violation unless ok is set, and panics with it under test.
func Assert(ok bool, invariant Invariant, format string, args ...any) {
	if ok {
		return
	}
	violation := &Violation{Invariant: invariant, Detail: fmt.Sprintf(format, args...)}
	count.Add(1)
	Violations.WithLabelValues(string(invariant)).Inc()
	klog.ErrorS(violation, "Invariant violated", "invariant", string(invariant))
	if handler := handle.Load(); handler != nil {
		(*handler)(violation)
		return
	}
	if testing.Testing() {
		panic(violation)
	}
}

// Handle makes violations go to a function instead of panicking under test; nil undoes it.
func Handle(handler func(*Violation)) {
	if handler == nil {
		handle.Store(nil)
		return
	}
	handle.Store(&handler)
}

// Count returns the number of violations since the program started.
func Count() int64 {
	return count.Load()
}

var (
	count  atomic.Int64
	handle atomic.Pointer[func(*Violation)]
)
