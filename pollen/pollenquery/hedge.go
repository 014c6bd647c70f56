package pollenquery

import (
	"context"
	"sync"
	"time"

	"pollenline.example/pollen/pollenschema"
)

// Policy is how a root spends time and load.
type Policy struct {
	// HedgeShare is the most hedges for each sub-query that is needed.
	HedgeShare float64
	// RetryDelay is the first pause before replicas that failed are tried again; each one is twice as long.
	RetryDelay time.Duration
	// PatienceShare of the shards may be given up by a service that prefers latency.
	PatienceShare float64
}

// DefaultPolicy returns the policy that the product runs with.
func DefaultPolicy() Policy {
	return Policy{HedgeShare: 0.045, RetryDelay: 25 * time.Millisecond, PatienceShare: 0.05}
}

// hedgeSlow sends second copies of sub-queries that are slower than most, and returns when to look again.
func (f *fanout) hedgeSlow(ctx context.Context) time.Duration {
	next := maximumHedgeLook
	for _, fl := range f.flights {
		if fl.hedged {
			continue
		}
		if left := fl.hedgeAfter - time.Since(fl.started); left > 0 {
			next = min(next, left)
			continue
		}
		fl.hedged = true
		f.hedge(ctx, fl)
	}
	return max(next, minimumHedgeDelay)
}

// maximumHedgeLook bounds the pause between two looks for slow sub-queries, since later ones may have started.
const maximumHedgeLook = 10 * time.Millisecond

func (f *fanout) hedge(ctx context.Context, fl *flight) {
	table := f.job.root.config.Table()
	p := newPlan(f.job.root.scores)
	for _, s := range fl.shards {
		if s.covered {
			continue
		}
		if p.assign(table, s, true) != pollenschema.Reason_REASON_UNSPECIFIED {
			return
		}
	}
	for _, t := range p.targets {
		if !f.job.root.hedges.spend() {
			return
		}
		f.launch(ctx, t.target, t.shards, true)
	}
}

// patienceOver reports whether a service that prefers latency gives up its last stragglers.
func (f *fanout) patienceOver() bool {
	if f.job.service.Preference != pollenschema.Preference_PREFERENCE_LATENCY || f.open == 0 {
		return false
	}
	if float64(f.open) > f.job.root.config.Policy.PatienceShare*float64(len(f.snapshot.Shards)) {
		return false
	}
	return time.Since(f.job.started) > patienceFactor*f.slowest
}

// patienceFactor is in multiples of the longest hedge delay of the fan-out.
const patienceFactor = 6

// hedgeBudget bounds hedges to a share of the sub-queries that are needed.
type hedgeBudget struct {
	share  float64
	mu     sync.Mutex
	tokens float64
}

// maximumHedgeTokens bounds a burst of hedges.
const maximumHedgeTokens = 20

func newHedgeBudget(share float64) *hedgeBudget {
	return &hedgeBudget{share: share}
}

func (b *hedgeBudget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(maximumHedgeTokens, b.tokens+b.share)
}

func (b *hedgeBudget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
