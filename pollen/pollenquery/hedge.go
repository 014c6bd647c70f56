package pollenquery

import (
	"context"
	"sync"
	"time"

	"pollenline.example/pollen/pollenschema"
)

// Policy bounds the hedges, retries and partial responses of a root.
type Policy struct {
	// HedgeShare is the maximum number of hedges per sub-query that is not itself a hedge.
	HedgeShare float64
	// RetryDelay is the initial delay before failed replicas are tried again; it doubles with each retry.
	RetryDelay time.Duration
	// MaxAbandonedShare is the largest share of shards that a response may leave uncovered to keep latency low, for
	// services that prefer latency over coverage.
	MaxAbandonedShare float64
}

// DefaultPolicy returns the policy of instances in production.
func DefaultPolicy() Policy {
	return Policy{HedgeShare: 0.045, RetryDelay: 25 * time.Millisecond, MaxAbandonedShare: 0.05}
}

// hedgeSlowAttempts hedges the attempts that have exceeded their hedge delay and returns the time until the next check.
func (f *fanout) hedgeSlowAttempts(ctx context.Context) time.Duration {
	next := maxHedgeCheckInterval
	for _, a := range f.attemptsInFlight {
		if a.noHedge {
			continue
		}
		if left := a.hedgeDelay - time.Since(a.started); left > 0 {
			next = min(next, left)
			continue
		}
		a.noHedge = true
		f.hedgeAttempt(ctx, a)
	}
	return max(next, minHedgeDelay)
}

// maxHedgeCheckInterval bounds the time between checks for slow attempts, since new ones may have started.
const maxHedgeCheckInterval = 10 * time.Millisecond

// hedgeAttempt asks other warm servers for the uncovered shards of an attempt as far as the budget allows.
//
// A shard without another warm server is left out, but if the last replica of such a shard is unavailable, nothing is
// sent.
func (f *fanout) hedgeAttempt(ctx context.Context, a *attempt) {
	table := f.job.root.config.Table()
	p := newPlan(f.job.root.scores)
	for _, s := range a.shards {
		if s.covered {
			continue
		}
		if p.assign(table, s, true) != pollenschema.Reason_REASON_UNSPECIFIED {
			return
		}
	}
	for _, planned := range p.subQueries {
		if !f.job.root.hedgeBudget.withdraw() {
			return
		}
		f.startAttempt(ctx, planned.target, planned.shards, true)
	}
}

// abandonsStragglers reports whether a service that prefers latency stops waiting for its last uncovered shards.
func (f *fanout) abandonsStragglers() bool {
	if f.job.service.Preference != pollenschema.Preference_PREFERENCE_LATENCY || f.uncovered == 0 {
		return false
	}
	if float64(f.uncovered) > f.job.root.config.Policy.MaxAbandonedShare*float64(len(f.snapshot.Shards)) {
		return false
	}
	return time.Since(f.job.started) > stragglerTimeoutFactor*f.maxHedgeDelay
}

// stragglerTimeoutFactor is the age of a request at which its stragglers are abandoned, in multiples of the longest
// hedge delay of the fan-out.
const stragglerTimeoutFactor = 6

// hedgeBudget is a token bucket that bounds hedges to a share of the other sub-queries.
type hedgeBudget struct {
	share  float64
	mu     sync.Mutex
	tokens float64
}

// maxHedgeTokens bounds a burst of hedges.
const maxHedgeTokens = 20

func newHedgeBudget(share float64) *hedgeBudget {
	return &hedgeBudget{share: share}
}

// deposit adds the hedge share earned by one sub-query.
func (b *hedgeBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(maxHedgeTokens, b.tokens+b.share)
}

// withdraw takes the token for one hedge and reports whether there was one.
func (b *hedgeBudget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
