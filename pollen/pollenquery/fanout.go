package pollenquery

import (
	"context"
	"fmt"
	"time"

	"pollenline.example/pollen/pollencheck"
	"pollenline.example/pollen/pollenevent"
	"pollenline.example/pollen/pollenmessage"
	"pollenline.example/pollen/pollenroute"
	"pollenline.example/pollen/pollenschema"
)

// maximumRetryDelay bounds the pause before replicas that failed are tried again.
const maximumRetryDelay = 400 * time.Millisecond

// query runs an idempotent request against all shards of one snapshot.
//
// If the pinned snapshot turns out not to be held, the whole query starts once more on another one.
func (j *job) query(ctx context.Context) *pollenschema.QueryResponse {
	pinned := j.pin("")
	first := newFanout(j, pinned)
	response := first.run(ctx)
	if !first.notHeld() || ctx.Err() != nil || len(j.service.Snapshots) < 2 {
		return response
	}
	j.root.stale.add(j.service.Name, pinned.Name)
	other := j.pin(pinned.Name)
	j.trace.Add(pollenevent.StepRestart, "", pollenschema.Reason_REASON_NOT_HELD,
		fmt.Sprintf("snapshot %s is not held everywhere; restart on %s", pinned.Name, other.Name))
	second := newFanout(j, other)
	second.number, second.sent = first.number, first.sent
	again := second.run(ctx)
	if again.Coverage.Covered*response.Coverage.Total < response.Coverage.Covered*again.Coverage.Total {
		return response
	}
	return again
}

// pin returns the newest snapshot that is not known to be missing, passing over the one already tried.
func (j *job) pin(tried string) *pollenroute.Snapshot {
	var fallback *pollenroute.Snapshot
	for _, s := range j.service.Snapshots {
		if s.Name == tried {
			continue
		}
		if !j.root.stale.has(j.service.Name, s.Name) {
			j.trace.Add(pollenevent.StepPin, "", 0, "snapshot "+s.Name)
			return s
		}
		if fallback == nil {
			fallback = s
		}
	}
	j.trace.Add(pollenevent.StepPin, "", 0, "snapshot "+fallback.Name+", though it was missing lately")
	return fallback
}

// fanout is one attempt at all shards of one snapshot.
type fanout struct {
	job      *job
	snapshot *pollenroute.Snapshot
	shards   map[string]*shardState
	open     int
	flights  map[int]*flight
	arrivals chan arrival
	number   int
	// slowest is the longest hedge delay of the flights so far.
	slowest time.Duration
	// sent is set once a sub-query may have reached a backend server.
	sent   bool
	sealed bool
}

// shardState is what the fan-out knows of one shard.
type shardState struct {
	shard   *pollenroute.Shard
	rows    [][]byte
	covered bool
	// flights counts the sub-queries under way that ask for the shard.
	flights int
	tried   map[string]bool
	// refused are the replicas that do not hold the snapshot.
	refused map[string]bool
	// overloaded are the replicas that cannot answer within the remaining time.
	overloaded map[string]bool
	reason     pollenschema.Reason
}

// flight is one sub-query under way.
type flight struct {
	number  int
	q       *pollenmessage.SubQuery
	target  target
	shards  []*shardState
	started time.Time
	cancel  context.CancelFunc
	hedged  bool
	// hedgeAfter is the age at which the flight is hedged.
	hedgeAfter time.Duration
}

// arrival is the answer to a flight.
type arrival struct {
	flight *flight
	answer pollenmessage.SubAnswer
}

func newFanout(j *job, snapshot *pollenroute.Snapshot) *fanout {
	f := &fanout{job: j, snapshot: snapshot, shards: make(map[string]*shardState, len(snapshot.Shards)), open: len(snapshot.Shards)}
	f.flights = make(map[int]*flight)
	f.arrivals = make(chan arrival)
	for i := range snapshot.Shards {
		shard := &snapshot.Shards[i]
		f.shards[shard.Name] = &shardState{shard: shard, tried: make(map[string]bool), refused: make(map[string]bool), overloaded: make(map[string]bool)}
	}
	return f
}

// run drives the fan-out until every shard is covered or the time is over.
func (f *fanout) run(ctx context.Context) *pollenschema.QueryResponse {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	policy := f.job.root.config.Policy
	retryDelay := policy.RetryDelay
	retry := time.NewTimer(retryDelay)
	defer retry.Stop()
	f.dispatchOpen(ctx)
	hedge := time.NewTimer(f.hedgeSlow(ctx))
	defer hedge.Stop()
	for f.open > 0 && ctx.Err() == nil && !f.hopeless() && !f.overloaded() {
		select {
		case <-ctx.Done():
		case a := <-f.arrivals:
			f.arrive(ctx, a)
		case <-hedge.C:
			hedge.Reset(f.hedgeSlow(ctx))
		case <-retry.C:
			f.forgetTried()
			f.dispatchOpen(ctx)
			// Each round waits longer, so that refused sub-queries do not add to an overload.
			retryDelay = min(2*retryDelay, maximumRetryDelay)
			retry.Reset(retryDelay)
		}
		if f.patienceOver() {
			break
		}
	}
	return f.merge(ctx)
}

// notHeld reports whether some shard was refused by every replica asked because of the snapshot.
func (f *fanout) notHeld() bool {
	for _, s := range f.shards {
		if !s.covered && len(s.refused) > 0 {
			return true
		}
	}
	return false
}

// hopeless reports whether an open shard can't be covered because no replica holds the pinned snapshot.
func (f *fanout) hopeless() bool {
	for _, s := range f.shards {
		if !s.covered && len(s.shard.Servers) > 0 && len(s.refused) >= len(s.shard.Servers) {
			return true
		}
	}
	return false
}

// overloaded reports whether nothing is under way and every open shard was refused for lack of time by all replicas.
//
// Trying on would only add to the overload. Urgent requests try on, since others make way for them, and so do those
// that have an answer for some shards already, which would be wasted.
func (f *fanout) overloaded() bool {
	begun := f.open < len(f.shards) || len(f.flights) > 0
	if begun || f.job.request.Class == pollenschema.Class_CLASS_URGENT {
		return false
	}
	for _, s := range f.shards {
		if !s.covered && len(s.overloaded) < len(s.shard.Servers) {
			return false
		}
	}
	return true
}

// dispatchOpen sends sub-queries for all open shards that none is under way for.
func (f *fanout) dispatchOpen(ctx context.Context) {
	plan := newPlan(f.job.root.scores)
	table := f.job.root.config.Table()
	for i := range f.snapshot.Shards {
		s := f.shards[f.snapshot.Shards[i].Name]
		if s.covered || s.flights > 0 {
			continue
		}
		if reason := plan.assign(table, s, false); reason != pollenschema.Reason_REASON_UNSPECIFIED {
			s.reason = reason
		}
	}
	for _, t := range plan.targets {
		f.launch(ctx, t.target, t.shards, false)
	}
}

func (f *fanout) launch(ctx context.Context, t target, shards []*shardState, hedge bool) {
	names := make([]string, 0, len(shards))
	for _, s := range shards {
		names = append(names, s.shard.Name)
		s.tried[t.server.Name] = true
		s.flights++
	}
	f.number++
	q := f.job.subQuery(t, f.snapshot, names, f.number)
	q.Hedge = hedge
	flightCtx, cancel := context.WithCancel(ctx)
	fl := &flight{number: f.number, q: q, target: t, shards: shards, started: time.Now(), cancel: cancel, hedged: hedge}
	fl.hedgeAfter = f.job.root.scores.hedgeDelay(t.server.ID())
	f.slowest = max(f.slowest, fl.hedgeAfter)
	f.flights[fl.number] = fl
	kind := pollenevent.StepSend
	if hedge {
		kind = pollenevent.StepHedge
	}
	f.job.trace.Add(kind, t.server.Name, 0, fmt.Sprintf("%d shards by %s", len(names), t.owner.Name))
	root := f.job.root
	root.scores.start(t.server.ID())
	if !hedge {
		root.hedges.earn()
	}
	go func() {
		defer cancel()
		answer := root.config.Sender.Send(flightCtx, t.owner, q)
		root.scores.finish(t.server.ID(), t.owner.Incarnation, &answer, time.Since(fl.started))
		root.config.Metrics.Sends(answer.Sends)
		select {
		case f.arrivals <- arrival{flight: fl, answer: answer}:
		case <-ctx.Done():
			// The answer came after the merge was sealed.
			root.config.Metrics.late()
		}
	}()
}

// arrive takes one answer in; shards that it does not cover are sent elsewhere at once.
func (f *fanout) arrive(ctx context.Context, a arrival) {
	pollencheck.Assert(!f.sealed, pollencheck.TruthfulCoverage, "answer taken in after the merge was sealed")
	fl := a.flight
	delete(f.flights, fl.number)
	f.sent = f.sent || a.answer.Sends > 0 || a.answer.Outcome == pollenschema.Outcome_OUTCOME_UNKNOWN
	for _, s := range fl.shards {
		s.flights--
	}
	server := fl.target.server.Name
	f.job.trace.Add(pollenevent.StepAnswer, server, a.answer.Reason, fmt.Sprintf("%v %s", a.answer.Outcome, a.answer.Detail))
	if !verify(fl.q, &a.answer) {
		f.job.root.config.Metrics.garbled()
		a.answer = fl.q.Unknown(pollenschema.Reason_REASON_GARBLED, "the owner's answer is not whole")
	}
	if a.answer.Outcome != pollenschema.Outcome_OUTCOME_DONE {
		f.missed(fl, a.answer.Reason)
		f.dispatchOpen(ctx)
		return
	}
	pollencheck.Assert(a.answer.Snapshot == f.snapshot.Name, pollencheck.SingleSnapshot,
		"merged snapshot %s into %s", a.answer.Snapshot, f.snapshot.Name)
	open := f.open
	for _, answer := range a.answer.Shards {
		f.cover(answer, server)
	}
	if f.open < open {
		f.job.root.config.Metrics.Needed()
	}
	f.cancelLosers()
	f.dispatchOpen(ctx)
}

// cancelLosers ends the flights whose shards are all covered by others.
func (f *fanout) cancelLosers() {
	for _, fl := range f.flights {
		if allCovered(fl.shards) {
			fl.cancel()
		}
	}
}

// forgetTried lets every replica be tried again, but for those that do not hold the snapshot.
func (f *fanout) forgetTried() {
	for _, s := range f.shards {
		if s.covered || s.flights > 0 {
			continue
		}
		clear(s.tried)
		for server := range s.refused {
			s.tried[server] = true
		}
	}
}
