package pollenquery

import (
	"context"

	"pollenline.example/pollen/pollenmessage"
	"pollenline.example/pollen/pollenschema"
)

func (f *fanout) missed(fl *flight, reason pollenschema.Reason) {
	for _, s := range fl.shards {
		if s.covered {
			continue
		}
		s.reason = reason
		switch reason {
		case pollenschema.Reason_REASON_NOT_HELD:
			s.refused[fl.target.server.Name] = true
		case pollenschema.Reason_REASON_OVERLOAD:
			s.overloaded[fl.target.server.Name] = true
		}
	}
}

func (f *fanout) cover(answer pollenmessage.ShardAnswer, server string) {
	s, ok := f.shards[answer.Shard]
	if !ok || s.covered {
		return
	}
	switch answer.State {
	case pollenmessage.ShardAnswered:
		s.covered = true
		s.rows = answer.Rows
		f.open--
	case pollenmessage.ShardNotHeld:
		s.reason = pollenschema.Reason_REASON_NOT_HELD
		s.refused[server] = true
	default:
		s.reason = pollenschema.Reason_REASON_DATA_LOST
	}
}

func (f *fanout) merge(ctx context.Context) *pollenschema.QueryResponse {
	f.sealed = true
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
		if !f.sent && len(f.flights) == 0 {
			response.Outcome = pollenschema.Outcome_OUTCOME_NOT_RUN
		}
		response.Reason = coverage.Missing[0].Reason
		response.Detail = "no shard was covered"
	}
	f.job.seal(response, f.snapshot)
	return response
}

func (f *fanout) missingReason(ctx context.Context, s *shardState) pollenschema.Reason {
	if s.reason != pollenschema.Reason_REASON_UNSPECIFIED {
		return s.reason
	}
	if ctx.Err() == context.Canceled {
		return pollenschema.Reason_REASON_CANCELLED
	}
	return pollenschema.Reason_REASON_DEADLINE
}

func allCovered(shards []*shardState) bool {
	for _, s := range shards {
		if !s.covered {
			return false
		}
	}
	return true
}
