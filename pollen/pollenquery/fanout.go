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

// maxRetryDelay bounds the delay before failed replicas are tried again.
const maxRetryDelay = 400 * time.Millisecond

// runQuery runs an idempotent request against all shards of one snapshot.
//
// If backend servers do not hold the pinned snapshot, the query restarts once on another snapshot, and the response
// that covers the larger share of its shards is returned.
func (j *job) runQuery(ctx context.Context) *pollenschema.QueryResponse {
	pinned := j.pin("")
	initial := newFanout(j, pinned)
	response := initial.run(ctx)
	if !initial.snapshotNotHeld() || ctx.Err() != nil || len(j.service.Snapshots) < 2 {
		return response
	}
	j.root.missingSnapshots.add(j.service.Name, pinned.Name)
	other := j.pin(pinned.Name)
	j.trace.Add(pollenevent.StepRestart, "", pollenschema.Reason_REASON_NOT_HELD,
		fmt.Sprintf("snapshot %s is not held everywhere; restart on %s", pinned.Name, other.Name))
	restarted := newFanout(j, other)
	restarted.lastSequence, restarted.possiblySent = initial.lastSequence, initial.possiblySent
	retried := restarted.run(ctx)
	if retried.Coverage.Covered*response.Coverage.Total < response.Coverage.Covered*retried.Coverage.Total {
		return response
	}
	return retried
}

// pin returns the newest snapshot other than the excluded one, preferring those not recently reported as missing.
func (j *job) pin(excluded string) *pollenroute.Snapshot {
	var fallback *pollenroute.Snapshot
	for _, s := range j.service.Snapshots {
		if s.Name == excluded {
			continue
		}
		if !j.root.missingSnapshots.contains(j.service.Name, s.Name) {
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

// fanout holds the state of a query against all shards of one snapshot.
type fanout struct {
	job      *job
	snapshot *pollenroute.Snapshot
	// shards holds the state of each shard by shard name.
	shards map[string]*shardState
	// uncovered is the number of shards without an answer.
	uncovered int
	// attemptsInFlight is keyed by sequence number.
	attemptsInFlight map[int]*attempt
	// results delivers the answers to the attempts.
	results chan attemptResult
	// lastSequence is the sequence number of the latest attempt; a restarted query continues it to keep IDs unique.
	lastSequence int
	// maxHedgeDelay is the longest hedge delay of the attempts so far.
	maxHedgeDelay time.Duration
	// possiblySent is set once a sub-query may have reached a backend server.
	possiblySent bool
	// merged is set once the response is built, after which no answer may be added.
	merged bool
}

// shardState holds the progress of the fan-out for one shard.
type shardState struct {
	shard   *pollenroute.Shard
	rows    [][]byte
	covered bool
	// pendingAttempts is the number of attempts in flight that include the shard.
	pendingAttempts int
	// triedReplicas holds the names of the servers that are not tried again before the next retry.
	triedReplicas map[string]bool
	// notHeldReplicas holds the replicas that do not hold the snapshot.
	notHeldReplicas map[string]bool
	// overloadedReplicas holds the replicas that refused because of overload, for example because the expected wait
	// exceeded the remaining time.
	overloadedReplicas map[string]bool
	// reason is why the last attempt did not cover the shard.
	reason pollenschema.Reason
}

// attempt is one sub-query in flight.
type attempt struct {
	sequence int
	subQuery *pollenmessage.SubQuery
	target   target
	shards   []*shardState
	started  time.Time
	cancel   context.CancelFunc
	// noHedge is set if the attempt must not be hedged, because it was considered for a hedge before or is one itself.
	noHedge bool
	// hedgeDelay is the age at which the attempt is hedged.
	hedgeDelay time.Duration
}

// attemptResult holds the answer to an attempt.
type attemptResult struct {
	attempt *attempt
	answer  pollenmessage.SubAnswer
}

func newFanout(j *job, snapshot *pollenroute.Snapshot) *fanout {
	f := &fanout{job: j, snapshot: snapshot, shards: make(map[string]*shardState, len(snapshot.Shards)), uncovered: len(snapshot.Shards)}
	f.attemptsInFlight = make(map[int]*attempt)
	f.results = make(chan attemptResult)
	for i := range snapshot.Shards {
		shard := &snapshot.Shards[i]
		f.shards[shard.Name] = &shardState{shard: shard, triedReplicas: make(map[string]bool), notHeldReplicas: make(map[string]bool), overloadedReplicas: make(map[string]bool)}
	}
	return f
}

// run sends sub-queries and collects their answers until every shard is covered, the deadline has passed, further
// attempts cannot succeed or the remaining shards are abandoned as stragglers.
func (f *fanout) run(ctx context.Context) *pollenschema.QueryResponse {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	policy := f.job.root.config.Policy
	retryDelay := policy.RetryDelay
	retry := time.NewTimer(retryDelay)
	defer retry.Stop()
	f.dispatchUncovered(ctx)
	hedge := time.NewTimer(f.hedgeSlowAttempts(ctx))
	defer hedge.Stop()
	for f.uncovered > 0 && ctx.Err() == nil && !f.snapshotUnavailable() && !f.allReplicasOverloaded() {
		select {
		case <-ctx.Done():
		case result := <-f.results:
			f.handleResult(ctx, result)
		case <-hedge.C:
			hedge.Reset(f.hedgeSlowAttempts(ctx))
		case <-retry.C:
			f.resetTriedReplicas()
			f.dispatchUncovered(ctx)
			// Exponential backoff keeps refused sub-queries from adding to an overload.
			retryDelay = min(2*retryDelay, maxRetryDelay)
			retry.Reset(retryDelay)
		}
		if f.abandonsStragglers() {
			break
		}
	}
	return f.merge(ctx)
}

// snapshotNotHeld reports whether a replica of an uncovered shard does not hold the pinned snapshot.
func (f *fanout) snapshotNotHeld() bool {
	for _, s := range f.shards {
		if !s.covered && len(s.notHeldReplicas) > 0 {
			return true
		}
	}
	return false
}

// snapshotUnavailable reports whether no replica of some uncovered shard holds the pinned snapshot.
func (f *fanout) snapshotUnavailable() bool {
	for _, s := range f.shards {
		if !s.covered && len(s.shard.Servers) > 0 && len(s.notHeldReplicas) >= len(s.shard.Servers) {
			return true
		}
	}
	return false
}

// allReplicasOverloaded reports whether all replicas of every shard refused because of overload and nothing is in flight.
//
// Retrying would only add to the overload. Urgent requests still retry, since they take precedence in the queues, and so
// do requests with an answer for some shards, since that work would be wasted.
func (f *fanout) allReplicasOverloaded() bool {
	inProgress := f.uncovered < len(f.shards) || len(f.attemptsInFlight) > 0
	if inProgress || f.job.request.Class == pollenschema.Class_CLASS_URGENT {
		return false
	}
	for _, s := range f.shards {
		if !s.covered && len(s.overloadedReplicas) < len(s.shard.Servers) {
			return false
		}
	}
	return true
}

// dispatchUncovered sends sub-queries for all uncovered shards without an attempt in flight.
func (f *fanout) dispatchUncovered(ctx context.Context) {
	plan := newPlan(f.job.root.scores)
	table := f.job.root.config.Table()
	for i := range f.snapshot.Shards {
		s := f.shards[f.snapshot.Shards[i].Name]
		if s.covered || s.pendingAttempts > 0 {
			continue
		}
		if reason := plan.assign(table, s, false); reason != pollenschema.Reason_REASON_UNSPECIFIED {
			s.reason = reason
		}
	}
	for _, planned := range plan.subQueries {
		f.startAttempt(ctx, planned.target, planned.shards, false)
	}
}

// startAttempt sends one sub-query in the background and delivers its answer to f.results.
func (f *fanout) startAttempt(ctx context.Context, t target, shards []*shardState, hedge bool) {
	names := make([]string, 0, len(shards))
	for _, s := range shards {
		names = append(names, s.shard.Name)
		s.triedReplicas[t.server.Name] = true
		s.pendingAttempts++
	}
	f.lastSequence++
	q := f.job.subQuery(t, f.snapshot, names, f.lastSequence)
	q.Hedge = hedge
	attemptCtx, cancel := context.WithCancel(ctx)
	a := &attempt{sequence: f.lastSequence, subQuery: q, target: t, shards: shards, started: time.Now(), cancel: cancel, noHedge: hedge}
	a.hedgeDelay = f.job.root.scores.hedgeDelay(t.server.ID())
	f.maxHedgeDelay = max(f.maxHedgeDelay, a.hedgeDelay)
	f.attemptsInFlight[a.sequence] = a
	kind := pollenevent.StepSend
	if hedge {
		kind = pollenevent.StepHedge
	}
	f.job.trace.Add(kind, t.server.Name, 0, fmt.Sprintf("%d shards by %s", len(names), t.owner.Name))
	root := f.job.root
	root.scores.recordStart(t.server.ID())
	if !hedge {
		root.hedgeBudget.deposit()
	}
	go func() {
		defer cancel()
		answer := root.config.Sender.Send(attemptCtx, t.owner, q)
		root.scores.recordFinish(t.server.ID(), t.owner.Incarnation, &answer, time.Since(a.started))
		root.config.Metrics.CountSends(answer.Sends)
		select {
		case f.results <- attemptResult{attempt: a, answer: answer}:
		case <-ctx.Done():
			// The answer arrived after the merge.
			root.config.Metrics.countLate()
		}
	}()
}

// handleResult records one answer and immediately asks other servers for the shards that it does not cover.
func (f *fanout) handleResult(ctx context.Context, result attemptResult) {
	pollencheck.Assert(!f.merged, pollencheck.TruthfulCoverage, "answer added after the merge")
	a := result.attempt
	delete(f.attemptsInFlight, a.sequence)
	f.possiblySent = f.possiblySent || result.answer.Sends > 0 || result.answer.Outcome == pollenschema.Outcome_OUTCOME_UNKNOWN
	for _, s := range a.shards {
		s.pendingAttempts--
	}
	server := a.target.server.Name
	f.job.trace.Add(pollenevent.StepAnswer, server, result.answer.Reason, fmt.Sprintf("%v %s", result.answer.Outcome, result.answer.Detail))
	if !isValidAnswer(a.subQuery, &result.answer) {
		f.job.root.config.Metrics.countGarbled()
		result.answer = a.subQuery.Unknown(pollenschema.Reason_REASON_GARBLED, "the owner's answer is not whole")
	}
	if result.answer.Outcome != pollenschema.Outcome_OUTCOME_DONE {
		f.recordFailure(a, result.answer.Reason)
		f.dispatchUncovered(ctx)
		return
	}
	pollencheck.Assert(result.answer.Snapshot == f.snapshot.Name, pollencheck.SingleSnapshot,
		"merged snapshot %s into %s", result.answer.Snapshot, f.snapshot.Name)
	before := f.uncovered
	for _, answer := range result.answer.Shards {
		f.recordShardAnswer(answer, server)
	}
	if f.uncovered < before {
		f.job.root.config.Metrics.CountNeeded()
	}
	f.cancelRedundant()
	f.dispatchUncovered(ctx)
}

// cancelRedundant cancels the attempts whose shards are all covered by other answers.
func (f *fanout) cancelRedundant() {
	for _, a := range f.attemptsInFlight {
		if allCovered(a.shards) {
			a.cancel()
		}
	}
}

// resetTriedReplicas makes every replica eligible again except those that do not hold the snapshot.
func (f *fanout) resetTriedReplicas() {
	for _, s := range f.shards {
		if s.covered || s.pendingAttempts > 0 {
			continue
		}
		clear(s.triedReplicas)
		for server := range s.notHeldReplicas {
			s.triedReplicas[server] = true
		}
	}
}
