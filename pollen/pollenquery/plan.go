package pollenquery

import (
	"pollenline.example/pollen/pollenroute"
	"pollenline.example/pollen/pollenschema"
)

// plan groups shards by the backend server that is to answer them.
type plan struct {
	scores  *scores
	targets []*planned
	byID    map[string]*planned
}

// planned is one sub-query to be.
type planned struct {
	target target
	shards []*shardState
}

func newPlan(s *scores) *plan {
	return &plan{scores: s, byID: make(map[string]*planned)}
}

// assign adds a shard to the best server that has not been tried for it.
//
// It returns why there is none, or unspecified.
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
		if s.tried[server.Name] || (hedge && !p.scores.warm(id)) {
			reason = pollenschema.Reason_REASON_UNSPECIFIED
			continue
		}
		score := p.scores.score(id, owner.Incarnation) * float64(1+p.shardsOf(id))
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

func (p *plan) shardsOf(id string) int {
	if t, ok := p.byID[id]; ok {
		return len(t.shards)
	}
	return 0
}

func (p *plan) add(t target, s *shardState) {
	id := t.server.ID()
	if p.byID[id] == nil {
		p.byID[id] = &planned{target: t}
		p.targets = append(p.targets, p.byID[id])
	}
	p.byID[id].shards = append(p.byID[id].shards, s)
}
