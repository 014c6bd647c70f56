package pollenowner

import (
	"context"
	"errors"
	"fmt"
	"time"

	"pollenline.example/pollen/pollenbackend"
	"pollenline.example/pollen/pollencheck"
	"pollenline.example/pollen/pollenevent"
	"pollenline.example/pollen/pollenlimit"
	"pollenline.example/pollen/pollenmessage"
	"pollenline.example/pollen/pollenschema"
)

// send sends a sub-query under a permit, and once more on a fresh connection if the first went silent.
func (o *Owner) send(ctx context.Context, q *pollenmessage.SubQuery, line *serverLine, permit *pollenlimit.Permit) pollenmessage.SubAnswer {
	answer, silent := o.sendOnce(ctx, q, line, permit, pollenlimit.SignAnswered)
	if !silent {
		return answer
	}
	o.config.Log.Add(pollenevent.KindConnection, line.server.ID(), "no progress: connections retired")
	line.backend.Retire()
	permit.Note(pollenlimit.Observation{Sign: pollenlimit.SignSilent})
	again, _ := o.sendOnce(ctx, q, line, permit, pollenlimit.SignFresh)
	again.Sends += answer.Sends
	if again.Outcome == pollenschema.Outcome_OUTCOME_NOT_RUN {
		// The silent copy may have run, whatever became of the second.
		again.Outcome = pollenschema.Outcome_OUTCOME_UNKNOWN
	}
	return again
}

// sendOnce sends one copy; silent is set if another copy may be sent because the connection made no progress.
func (o *Owner) sendOnce(ctx context.Context, q *pollenmessage.SubQuery, line *serverLine, permit *pollenlimit.Permit, success pollenlimit.Sign) (answer pollenmessage.SubAnswer, silent bool) {
	reason, ok := o.enterGroup(line)
	if !ok {
		permit.Finish(pollenlimit.Observation{Sign: pollenlimit.SignNothing})
		return q.Refuse(reason, "server takes no new work"), false
	}
	defer o.leaveGroup(line)
	attemptCtx, cancel := o.attemptContext(ctx, q, line, success)
	defer cancel()
	deadline, _ := attemptCtx.Deadline()
	overall, _ := ctx.Deadline()
	request := o.request(q, time.Until(overall))
	if request.TimeoutMicroseconds <= 0 {
		permit.Finish(pollenlimit.Observation{Sign: pollenlimit.SignNothing})
		return q.Refuse(pollenschema.Reason_REASON_DEADLINE, "deadline passed before the send"), false
	}
	started := time.Now()
	o.config.Metrics.sent(q)
	received, err := line.backend.Send(attemptCtx, request)
	if err == nil {
		return o.received(q, received, permit, pollenlimit.Observation{Sign: success, Latency: time.Since(started), BootID: received.BootID}), false
	}
	progressOver := deadline.Before(overall) && attemptCtx.Err() != nil && ctx.Err() == nil
	if progressOver && success == pollenlimit.SignAnswered {
		return pollenmessage.SubAnswer{Sends: 1}, true
	}
	return o.failed(ctx, q, permit, err), false
}

// attemptContext bounds the first copy of an idempotent sub-query by the progress timeout.
func (o *Owner) attemptContext(ctx context.Context, q *pollenmessage.SubQuery, line *serverLine, success pollenlimit.Sign) (context.Context, context.CancelFunc) {
	if q.Idempotent && success == pollenlimit.SignAnswered {
		return context.WithTimeout(ctx, line.limit.ProgressTimeout())
	}
	return context.WithCancel(ctx)
}

func (o *Owner) request(q *pollenmessage.SubQuery, left time.Duration) *pollenbackend.Request {
	request := &pollenbackend.Request{
		ID:                  fmt.Sprintf("%s/%d", q.ID, o.attempt.Add(1)),
		Service:             q.Service,
		Snapshot:            q.Snapshot,
		Shards:              q.Shards,
		TimeoutMicroseconds: left.Microseconds(),
		Payload:             q.Payload,
	}
	if !q.Idempotent {
		request.Action = q.Request.Incarnation + "/" + q.Request.Nonce
	}
	return request
}

// received turns a verified answer of the backend server into the outcome of the sub-query.
func (o *Owner) received(q *pollenmessage.SubQuery, a *pollenbackend.Answer, permit *pollenlimit.Permit, observation pollenlimit.Observation) pollenmessage.SubAnswer {
	if a.NotRun {
		observation.Sign = pollenlimit.SignNothing
		if a.Refusal == pollenbackend.RefusalShed {
			observation.Sign = pollenlimit.SignShed
		}
		permit.Finish(observation)
		answer := q.Refuse(refusalReason(a.Refusal), "refused by the backend server: "+string(a.Refusal))
		answer.Sends = 1
		return answer
	}
	permit.Finish(observation)
	pollencheck.Assert(a.Snapshot == q.Snapshot, pollencheck.SingleSnapshot, "asked for snapshot %s, took %s", q.Snapshot, a.Snapshot)
	return pollenmessage.SubAnswer{
		ID: q.ID, Outcome: pollenschema.Outcome_OUTCOME_DONE, Snapshot: a.Snapshot,
		Shards: a.Shards, Checksum: a.Checksum, Sends: 1,
	}
}

// failed turns an error of the backend into the outcome of the sub-query.
func (o *Owner) failed(ctx context.Context, q *pollenmessage.SubQuery, permit *pollenlimit.Permit, err error) pollenmessage.SubAnswer {
	var notSent *pollenbackend.NotSentError
	var garbled *pollenbackend.GarbledError
	cancelled := ctx.Err() != nil
	switch {
	case errors.As(err, &notSent):
		permit.Finish(pollenlimit.Observation{Sign: signUnless(cancelled, pollenlimit.SignConnectionLost)})
		return q.Refuse(pollenschema.Reason_REASON_CONNECTION, err.Error())
	case errors.As(err, &garbled):
		permit.Finish(pollenlimit.Observation{Sign: pollenlimit.SignNothing})
		o.config.Metrics.garbled(q)
		return withSend(q.Unknown(pollenschema.Reason_REASON_GARBLED, err.Error()))
	case cancelled:
		permit.Finish(pollenlimit.Observation{Sign: pollenlimit.SignNothing, Latency: time.Since(permit.Started())})
		return withSend(q.Unknown(pollenschema.Reason_REASON_DEADLINE, "no answer in time"))
	}
	permit.Finish(pollenlimit.Observation{Sign: pollenlimit.SignConnectionLost})
	return withSend(q.Unknown(pollenschema.Reason_REASON_CONNECTION, err.Error()))
}

func signUnless(cancelled bool, sign pollenlimit.Sign) pollenlimit.Sign {
	if cancelled {
		return pollenlimit.SignNothing
	}
	return sign
}

func withSend(answer pollenmessage.SubAnswer) pollenmessage.SubAnswer {
	answer.Sends = 1
	return answer
}

func refusalReason(refusal pollenbackend.Refusal) pollenschema.Reason {
	switch refusal {
	case pollenbackend.RefusalSnapshot:
		return pollenschema.Reason_REASON_NOT_HELD
	case pollenbackend.RefusalDeadline:
		return pollenschema.Reason_REASON_DEADLINE
	case pollenbackend.RefusalDraining:
		return pollenschema.Reason_REASON_LEAVING
	}
	return pollenschema.Reason_REASON_OVERLOAD
}
