package pollenquery

import (
	"pollenline.example/pollen/pollenroute"
	"pollenline.example/pollen/pollenschema"
)

// plan groups shards into one sub-query per backend server.
type plan struct {
	scores     *scores
	subQueries []*plannedSubQuery
	// byServer holds the sub-queries by server ID.
	byServer map[string]*plannedSubQuery
}

// plannedSubQuery is a sub-query that is not sent yet.
type plannedSubQuery struct {
	target target
	shards []*shardState
}

func newPlan(s *scores) *plan {
	return &plan{scores: s, byServer: make(map[string]*plannedSubQuery)}
}

// assign adds a shard to the sub-query of the best-scored available server that has not been tried for it.
//
// It returns REASON_UNSPECIFIED on success. If no server is left, it returns why the last replica is unavailable, or
// REASON_UNSPECIFIED if that replica was tried already or is not warm enough for a hedge.
func (p *plan) assign(table *pollenroute.Table, s *shardState, hedge bool) pollenschema.Reason {
	reason := pollenschema.Reason_REASON_NO_REPLICA
	var best target
	bestScore := -1.0
	for _, server := range s.shard.Servers {
		id := server.ID()
		if refusal := table.Refusal(id); refusal != pollenschema.Reason_REASON_UNSPECIFIED {
			reason = refusal
			continue
		}
		owner, owned := table.Owners[server.Group]
		if !owned {
			reason = pollenschema.Reason_REASON_NO_OWNER
			continue
		}
		if s.triedReplicas[server.Name] || (hedge && !p.scores.warm(id)) {
			reason = pollenschema.Reason_REASON_UNSPECIFIED
			continue
		}
		score := p.scores.score(id, owner.Incarnation) * float64(1+p.shardCount(id))
		if bestScore < 0 || score < bestScore {
			best, bestScore = target{server: server, owner: owner}, score
		}
	}
	if bestScore < 0 {
		return reason
	}
	p.add(best, s)
	return pollenschema.Reason_REASON_UNSPECIFIED
}

// shardCount returns the number of shards already assigned to a server.
func (p *plan) shardCount(id string) int {
	if planned, ok := p.byServer[id]; ok {
		return len(planned.shards)
	}
	return 0
}

// add adds a shard to the sub-query for the target's server.
func (p *plan) add(t target, s *shardState) {
	id := t.server.ID()
	if p.byServer[id] == nil {
		p.byServer[id] = &plannedSubQuery{target: t}
		p.subQueries = append(p.subQueries, p.byServer[id])
	}
	p.byServer[id].shards = append(p.byServer[id].shards, s)
}
