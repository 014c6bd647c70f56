package pollenquery

import (
	"context"

	"pollenline.example/pollen/pollenmessage"
	"pollenline.example/pollen/pollenschema"
)

// recordFailure records why an attempt did not cover its shards.
func (f *fanout) recordFailure(a *attempt, reason pollenschema.Reason) {
	for _, s := range a.shards {
		if s.covered {
			continue
		}
		s.reason = reason
		switch reason {
		case pollenschema.Reason_REASON_NOT_HELD:
			s.notHeldReplicas[a.target.server.Name] = true
		case pollenschema.Reason_REASON_OVERLOAD:
			s.overloadedReplicas[a.target.server.Name] = true
		}
	}
}

// recordShardAnswer adds the rows of a shard that is not covered yet, or records why a server has none.
func (f *fanout) recordShardAnswer(answer pollenmessage.ShardAnswer, server string) {
	s, ok := f.shards[answer.Shard]
	if !ok || s.covered {
		return
	}
	switch answer.State {
	case pollenmessage.ShardAnswered:
		s.covered = true
		s.rows = answer.Rows
		f.uncovered--
	case pollenmessage.ShardNotHeld:
		s.reason = pollenschema.Reason_REASON_NOT_HELD
		s.notHeldReplicas[server] = true
	default:
		s.reason = pollenschema.Reason_REASON_DATA_LOST
	}
}

// merge builds the response from the covered shards and lists the missing ones.
func (f *fanout) merge(ctx context.Context) *pollenschema.QueryResponse {
	f.merged = true
	coverage := &pollenschema.Coverage{Total: uint32(len(f.snapshot.Shards))}
	response := &pollenschema.QueryResponse{Outcome: pollenschema.Outcome_OUTCOME_DONE, Coverage: coverage}
	for i := range f.snapshot.Shards {
		s := f.shards[f.snapshot.Shards[i].Name]
		if s.covered {
			coverage.Covered++
			response.Shards = append(response.Shards, &pollenschema.ShardRows{Shard: s.shard.Name, Rows: s.rows})
			continue
		}
		coverage.Missing = append(coverage.Missing, &pollenschema.MissingShard{Shard: s.shard.Name, Reason: f.missingReason(ctx, s)})
	}
	if coverage.Covered == 0 {
		response.Outcome = pollenschema.Outcome_OUTCOME_UNKNOWN
		if !f.possiblySent && len(f.attemptsInFlight) == 0 {
			response.Outcome = pollenschema.Outcome_OUTCOME_NOT_RUN
		}
		response.Reason = coverage.Missing[0].Reason
		response.Detail = "no shard was covered"
	}
	f.job.finalize(response, f.snapshot)
	return response
}

// missingReason returns why a shard is missing: the recorded reason, cancellation or the deadline.
func (f *fanout) missingReason(ctx context.Context, s *shardState) pollenschema.Reason {
	if s.reason != pollenschema.Reason_REASON_UNSPECIFIED {
		return s.reason
	}
	if ctx.Err() == context.Canceled {
		return pollenschema.Reason_REASON_CANCELLED
	}
	return pollenschema.Reason_REASON_DEADLINE
}

// allCovered reports whether every one of the shards is covered.
func allCovered(shards []*shardState) bool {
	for _, s := range shards {
		if !s.covered {
			return false
		}
	}
	return true
}
