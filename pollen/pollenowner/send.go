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

// send sends a sub-query to its server under a permit. If the first request makes no progress, it sends a second one on
// a new connection.
func (o *Owner) send(ctx context.Context, q *pollenmessage.SubQuery, server *ownedServer, permit *pollenlimit.Permit) pollenmessage.SubAnswer {
	answer, noProgress := o.sendOnce(ctx, q, server, permit, pollenlimit.SignalAnswered)
	if !noProgress {
		return answer
	}
	o.config.Log.Add(pollenevent.KindConnection, server.route.ID(), "no progress: connections retired")
	server.backend.CloseIdleConnections()
	permit.Observe(pollenlimit.Observation{Signal: pollenlimit.SignalNoProgress})
	retried, _ := o.sendOnce(ctx, q, server, permit, pollenlimit.SignalFreshConnection)
	retried.Sends += answer.Sends
	if retried.Outcome == pollenschema.Outcome_OUTCOME_NOT_RUN {
		// The first request may have run even if the second did not.
		retried.Outcome = pollenschema.Outcome_OUTCOME_UNKNOWN
	}
	return retried
}

// sendOnce sends one request for a sub-query and reports its answer to the limiter as answerSignal.
//
// The answerSignal is SignalAnswered for the first request and SignalFreshConnection for the second. If the first
// exceeds the progress timeout, noProgress is set, the permit is still held and a second request may be sent.
func (o *Owner) sendOnce(ctx context.Context, q *pollenmessage.SubQuery, server *ownedServer, permit *pollenlimit.Permit, answerSignal pollenlimit.Signal) (answer pollenmessage.SubAnswer, noProgress bool) {
	reason, ok := o.beginSend(server)
	if !ok {
		permit.Finish(pollenlimit.Observation{Signal: pollenlimit.SignalNone})
		return q.Refuse(reason, "server takes no new work"), false
	}
	defer o.endSend(server)
	requestCtx, cancel := o.requestContext(ctx, q, server, answerSignal)
	defer cancel()
	requestDeadline, _ := requestCtx.Deadline()
	queryDeadline, _ := ctx.Deadline()
	request := o.newRequest(q, time.Until(queryDeadline))
	if request.TimeoutMicroseconds <= 0 {
		permit.Finish(pollenlimit.Observation{Signal: pollenlimit.SignalNone})
		return q.Refuse(pollenschema.Reason_REASON_DEADLINE, "deadline passed before the send"), false
	}
	started := time.Now()
	o.config.Metrics.countSend(q)
	received, err := server.backend.Send(requestCtx, request)
	if err == nil {
		return o.handleAnswer(q, received, permit, pollenlimit.Observation{Signal: answerSignal, Latency: time.Since(started), BootID: received.BootID}), false
	}
	progressTimedOut := requestDeadline.Before(queryDeadline) && requestCtx.Err() != nil && ctx.Err() == nil
	if progressTimedOut && answerSignal == pollenlimit.SignalAnswered {
		return pollenmessage.SubAnswer{Sends: 1}, true
	}
	return o.handleError(ctx, q, permit, err), false
}

// requestContext returns the context of one request, with the progress timeout if it is the first for an idempotent
// sub-query. Other requests are bounded by the deadline of the sub-query alone.
func (o *Owner) requestContext(ctx context.Context, q *pollenmessage.SubQuery, server *ownedServer, answerSignal pollenlimit.Signal) (context.Context, context.CancelFunc) {
	if q.Idempotent && answerSignal == pollenlimit.SignalAnswered {
		return context.WithTimeout(ctx, server.limiter.ProgressTimeout())
	}
	return context.WithCancel(ctx)
}

// newRequest returns a request for a sub-query, with an ID of its own and the time left.
func (o *Owner) newRequest(q *pollenmessage.SubQuery, left time.Duration) *pollenbackend.Request {
	request := &pollenbackend.Request{
		ID:                  fmt.Sprintf("%s/%d", q.ID, o.lastRequest.Add(1)),
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

// handleAnswer finishes the permit and converts a verified answer of the backend server to an answer of the owner.
func (o *Owner) handleAnswer(q *pollenmessage.SubQuery, a *pollenbackend.Answer, permit *pollenlimit.Permit, observation pollenlimit.Observation) pollenmessage.SubAnswer {
	if a.NotRun {
		observation.Signal = pollenlimit.SignalNone
		if a.Refusal == pollenbackend.RefusalShed {
			observation.Signal = pollenlimit.SignalShed
		}
		permit.Finish(observation)
		answer := q.Refuse(refusalReason(a.Refusal), "refused by the backend server: "+string(a.Refusal))
		answer.Sends = 1
		return answer
	}
	permit.Finish(observation)
	pollencheck.Assert(a.Snapshot == q.Snapshot, pollencheck.SingleSnapshot, "requested snapshot %s, accepted %s", q.Snapshot, a.Snapshot)
	return pollenmessage.SubAnswer{
		ID: q.ID, Outcome: pollenschema.Outcome_OUTCOME_DONE, Snapshot: a.Snapshot,
		Shards: a.Shards, Checksum: a.Checksum, Sends: 1,
	}
}

// handleError finishes the permit and converts an error of the backend client to an answer of the owner.
func (o *Owner) handleError(ctx context.Context, q *pollenmessage.SubQuery, permit *pollenlimit.Permit, err error) pollenmessage.SubAnswer {
	var notSent *pollenbackend.NotSentError
	var garbled *pollenbackend.GarbledError
	contextDone := ctx.Err() != nil
	switch {
	case errors.As(err, &notSent):
		permit.Finish(pollenlimit.Observation{Signal: signalUnlessDone(contextDone, pollenlimit.SignalConnectionLost)})
		return q.Refuse(pollenschema.Reason_REASON_CONNECTION, err.Error())
	case errors.As(err, &garbled):
		permit.Finish(pollenlimit.Observation{Signal: pollenlimit.SignalNone})
		o.config.Metrics.countGarbled(q)
		return withOneSend(q.Unknown(pollenschema.Reason_REASON_GARBLED, err.Error()))
	case contextDone:
		permit.Finish(pollenlimit.Observation{Signal: pollenlimit.SignalNone, Latency: time.Since(permit.Started())})
		return withOneSend(q.Unknown(pollenschema.Reason_REASON_DEADLINE, "no answer in time"))
	}
	permit.Finish(pollenlimit.Observation{Signal: pollenlimit.SignalConnectionLost})
	return withOneSend(q.Unknown(pollenschema.Reason_REASON_CONNECTION, err.Error()))
}

// signalUnlessDone returns the signal, or SignalNone if the sub-query was cancelled or its deadline has passed.
func signalUnlessDone(contextDone bool, signal pollenlimit.Signal) pollenlimit.Signal {
	if contextDone {
		return pollenlimit.SignalNone
	}
	return signal
}

// withOneSend returns the answer with one request counted as sent.
func withOneSend(answer pollenmessage.SubAnswer) pollenmessage.SubAnswer {
	answer.Sends = 1
	return answer
}

// refusalReason returns the reason for a refusal by a backend server; RefusalShed and unknown ones count as overload.
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
