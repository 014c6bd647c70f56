package pollenquery

import (
	"context"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"pollenline.example/pollen/pollenevent"
	"pollenline.example/pollen/pollenmessage"
	"pollenline.example/pollen/pollenroute"
	"pollenline.example/pollen/pollenschema"
)

// Bounds of the exponential backoff between attempts of an action that did not run.
const (
	minActionRetryDelay = 10 * time.Millisecond
	maxActionRetryDelay = 200 * time.Millisecond
)

// runAction runs a request that is not idempotent on one backend server of one shard.
//
// Another server is tried only after an answer which confirms that the action did not run.
func (j *job) runAction(ctx context.Context) *pollenschema.QueryResponse {
	snapshot := j.pin("")
	shard := &snapshot.Shards[xxhash.Sum64String(j.request.Key)%uint64(len(snapshot.Shards))]
	lastRefusal := notRun(pollenschema.Reason_REASON_NO_REPLICA, "no backend server takes work")
	delay := minActionRetryDelay
	for attempt := 0; ; attempt++ {
		target, ok := j.selectActionTarget(shard, attempt)
		if ok {
			answer, q := j.sendAction(ctx, target, snapshot, shard, attempt)
			if answer.Outcome != pollenschema.Outcome_OUTCOME_NOT_RUN {
				return j.actionResponse(answer, q, snapshot)
			}
			lastRefusal = notRun(answer.Reason, answer.Detail)
		}
		select {
		case <-ctx.Done():
			return lastRefusal
		case <-time.After(delay):
			delay = min(2*delay, maxActionRetryDelay)
		}
	}
}

// target holds a backend server and the instance that owns it.
type target struct {
	server *pollenroute.Server
	owner  pollenroute.Instance
}

// selectActionTarget returns the server for an attempt, rotating through the available servers of the shard.
func (j *job) selectActionTarget(shard *pollenroute.Shard, attempt int) (target, bool) {
	table := j.root.config.Table()
	var targets []target
	for _, server := range shard.Servers {
		owner, owned := table.Owners[server.Group]
		if owned && table.Refusal(server.ID()) == pollenschema.Reason_REASON_UNSPECIFIED {
			targets = append(targets, target{server: server, owner: owner})
		}
	}
	if len(targets) == 0 {
		return target{}, false
	}
	return targets[attempt%len(targets)], true
}

// sendAction sends one attempt of an action and returns its validated answer with the sub-query.
func (j *job) sendAction(ctx context.Context, t target, snapshot *pollenroute.Snapshot, shard *pollenroute.Shard, attempt int) (pollenmessage.SubAnswer, *pollenmessage.SubQuery) {
	q := j.subQuery(t, snapshot, []string{shard.Name}, attempt)
	j.trace.Add(pollenevent.StepSend, t.server.Name, 0, "action to shard "+shard.Name)
	answer := j.root.config.Sender.Send(ctx, t.owner, q)
	j.root.config.Metrics.CountSends(answer.Sends)
	if answer.Outcome == pollenschema.Outcome_OUTCOME_DONE {
		j.root.config.Metrics.CountNeeded()
	}
	if !isValidAnswer(q, &answer) {
		answer = q.Unknown(pollenschema.Reason_REASON_GARBLED, "the owner's answer is not whole")
	}
	j.trace.Add(pollenevent.StepAnswer, t.server.Name, answer.Reason, fmt.Sprintf("%v %s", answer.Outcome, answer.Detail))
	return answer, q
}

// actionResponse builds the response to an action that ran or may have run.
func (j *job) actionResponse(answer pollenmessage.SubAnswer, q *pollenmessage.SubQuery, snapshot *pollenroute.Snapshot) *pollenschema.QueryResponse {
	response := &pollenschema.QueryResponse{Outcome: answer.Outcome, Reason: answer.Reason, Detail: answer.Detail}
	response.Coverage = &pollenschema.Coverage{Total: 1}
	for _, s := range answer.Shards {
		if s.State == pollenmessage.ShardAnswered {
			response.Shards = append(response.Shards, &pollenschema.ShardRows{Shard: s.Shard, Rows: s.Rows})
			response.Coverage.Covered++
		}
	}
	if response.Coverage.Covered == 0 {
		reason := answer.Reason
		if reason == pollenschema.Reason_REASON_UNSPECIFIED {
			reason = pollenschema.Reason_REASON_DATA_LOST
		}
		response.Coverage.Missing = []*pollenschema.MissingShard{{Shard: q.Shards[0], Reason: reason}}
	}
	j.finalize(response, snapshot)
	return response
}

// subQuery returns a sub-query to the target whose ID is unique to the request and the sequence number.
func (j *job) subQuery(t target, snapshot *pollenroute.Snapshot, shards []string, sequence int) *pollenmessage.SubQuery {
	return &pollenmessage.SubQuery{
		ID:         fmt.Sprintf("%s/%s/%d", j.id.Incarnation, j.id.Nonce, sequence),
		Request:    j.id,
		Service:    j.service.Name,
		Snapshot:   snapshot.Name,
		Server:     t.server.Name,
		Shards:     shards,
		Class:      j.request.Class,
		Sent:       time.Now(),
		Timeout:    time.Until(j.deadline),
		Idempotent: j.request.Idempotent,
		Payload:    j.request.Payload,
	}
}
