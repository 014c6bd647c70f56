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

// An action that did not run is sent again after a pause, which doubles each time.
const (
	firstActionDelay   = 10 * time.Millisecond
	maximumActionDelay = 200 * time.Millisecond
)

// action runs a request that is not idempotent: on one shard, by one backend server.
//
// A further server is tried only after an answer that says that the action did not run.
func (j *job) action(ctx context.Context) *pollenschema.QueryResponse {
	snapshot := j.pin("")
	shard := &snapshot.Shards[xxhash.Sum64String(j.request.Key)%uint64(len(snapshot.Shards))]
	last := notRun(pollenschema.Reason_REASON_NO_REPLICA, "no backend server takes work")
	delay := firstActionDelay
	for attempt := 0; ; attempt++ {
		target, ok := j.actionTarget(shard, attempt)
		if ok {
			answer, q := j.sendAction(ctx, target, snapshot, shard, attempt)
			if answer.Outcome != pollenschema.Outcome_OUTCOME_NOT_RUN {
				return j.actionResponse(answer, q, snapshot)
			}
			last = notRun(answer.Reason, answer.Detail)
		}
		select {
		case <-ctx.Done():
			return last
		case <-time.After(delay):
			delay = min(2*delay, maximumActionDelay)
		}
	}
}

// target is a backend server with the instance that owns it.
type target struct {
	server *pollenroute.Server
	owner  pollenroute.Instance
}

func (j *job) actionTarget(shard *pollenroute.Shard, attempt int) (target, bool) {
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

func (j *job) sendAction(ctx context.Context, t target, snapshot *pollenroute.Snapshot, shard *pollenroute.Shard, attempt int) (pollenmessage.SubAnswer, *pollenmessage.SubQuery) {
	q := j.subQuery(t, snapshot, []string{shard.Name}, attempt)
	j.trace.Add(pollenevent.StepSend, t.server.Name, 0, "action to shard "+shard.Name)
	answer := j.root.config.Sender.Send(ctx, t.owner, q)
	j.root.config.Metrics.Sends(answer.Sends)
	if answer.Outcome == pollenschema.Outcome_OUTCOME_DONE {
		j.root.config.Metrics.Needed()
	}
	if !verify(q, &answer) {
		answer = q.Unknown(pollenschema.Reason_REASON_GARBLED, "the owner's answer is not whole")
	}
	j.trace.Add(pollenevent.StepAnswer, t.server.Name, answer.Reason, fmt.Sprintf("%v %s", answer.Outcome, answer.Detail))
	return answer, q
}

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
	j.seal(response, snapshot)
	return response
}

// subQuery returns a sub-query with an id of its own.
func (j *job) subQuery(t target, snapshot *pollenroute.Snapshot, shards []string, number int) *pollenmessage.SubQuery {
	return &pollenmessage.SubQuery{
		ID:         fmt.Sprintf("%s/%s/%d", j.id.Incarnation, j.id.Nonce, number),
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
