package pollenforward

import (
	"time"

	"pollenline.example/pollen/pollencatalog"
)

// Schedule holds the times at which a request is refused, hedged and answered.
type Schedule struct {
	// AdmissionDeadline is when a request that has not started for lack of capacity is refused.
	AdmissionDeadline time.Time
	// RetryAdmissionDeadline is the same for a caller's retry, which may be answered after the objective.
	RetryAdmissionDeadline time.Time
	// HedgeAt is when services without an answer get one more request.
	HedgeAt time.Time
	// PartialReplyAt is when a reply with the minimum coverage is sent without the missing shards.
	PartialReplyAt time.Time
	// End is when the request ends even without a reply.
	End time.Time
	// CallerDeadline is the end of the caller's or the route's timeout, whichever is first. Servers are told the time
	// left until then.
	CallerDeadline time.Time
}

// ScheduleConfig holds the inputs of a Schedule.
type ScheduleConfig struct {
	Route    *pollencatalog.Route
	Received time.Time
	// CallerTimeout is how long the caller waits from Received on; zero if it states no limit.
	CallerTimeout time.Duration
	// CallerRoundTrip is the network round-trip time between caller and instance.
	CallerRoundTrip time.Duration
	// LatencyQuantile is a high quantile of the latencies of the route's servers; zero if unknown.
	LatencyQuantile time.Duration
}

const (
	// replyMargin is the share of the objective that is reserved for merging and sending the reply.
	replyMargin = 0.06
	// minHedgeShare and maxHedgeShare bound the hedge delay as shares of the objective: earlier hedges waste work,
	// later ones are answered too late.
	minHedgeShare = 0.08
	maxHedgeShare = 0.4
	// admissionShare is the share of the objective within which a request is started or refused, so that a refused
	// caller has time to retry.
	admissionShare = 0.25
	// retryAdmissionShare is the share of the timeout after which a caller's retry is refused: early enough for the
	// caller to try elsewhere, and queues rarely get shorter in the remaining time.
	retryAdmissionShare = 0.45
	// endMargin is the share of the timeout that is reserved for the reply to reach the caller, at most maxEndMargin.
	endMargin    = 0.02
	maxEndMargin = 50 * time.Millisecond
	// defaultTimeout is used when neither the caller nor the route sets a timeout.
	defaultTimeout = 30 * time.Second
)

// admissionDeadline returns when a request that has not started is refused.
func (s *Schedule) admissionDeadline(callerRetry bool) time.Time {
	if callerRetry {
		return s.RetryAdmissionDeadline
	}
	return s.AdmissionDeadline
}

// NewSchedule computes the schedule of a request.
//
// Load pattern: single servers stall or slow down. Hedging at a high quantile of the measured latencies costs few
// extra requests in normal operation; the bound by the objective keeps hedges useful when many servers are slow.
func NewSchedule(config ScheduleConfig) Schedule {
	timeout := defaultTimeout
	if config.Route.Timeout > 0 {
		timeout = config.Route.Timeout
	}
	if config.CallerTimeout > 0 {
		timeout = min(timeout, config.CallerTimeout)
	}
	objective := config.Route.Objective
	if objective <= 0 || objective > timeout {
		objective = timeout
	}
	hedge := config.LatencyQuantile
	if hedge == 0 {
		hedge = share(objective, maxHedgeShare)
	}
	hedge = min(max(hedge, share(objective, minHedgeShare)), share(objective, maxHedgeShare))
	end := timeout - min(share(timeout, endMargin), maxEndMargin)
	partialReply := min(objective-config.CallerRoundTrip-share(objective, replyMargin), end)
	admission := share(objective, admissionShare) - config.CallerRoundTrip/2
	return Schedule{
		AdmissionDeadline:      config.Received.Add(max(admission, 0)),
		RetryAdmissionDeadline: config.Received.Add(max(min(share(timeout, retryAdmissionShare), end-max(partialReply, objective/2)), 0)),
		HedgeAt:                config.Received.Add(hedge),
		PartialReplyAt:         config.Received.Add(max(partialReply, objective/2)),
		End:                    config.Received.Add(end),
		CallerDeadline:         config.Received.Add(timeout),
	}
}

// These bound the Retry-After time of a refused caller, as shares of the time that it has left. Callers wait up to a
// third of that time, so the upper bound allows the latest retry that is still useful.
const (
	minRetryAfterShare = 0.15
	maxRetryAfterShare = 0.3
)

// RetryAfterOutage returns how long a caller should wait when servers or configuration are missing. The length of the
// outage is unknown, so the retry comes as late as the caller can still be served.
func RetryAfterOutage(timeLeft time.Duration) time.Duration {
	return share(timeLeft, maxRetryAfterShare)
}

// RetryAfterOverload returns how long a caller should wait when servers have no capacity; random is between 0 and 1.
//
// Load pattern: callers request more than the servers' slots can run. Callers that retry at the same time would be
// refused at the same time, so their retries are spread.
func RetryAfterOverload(timeLeft time.Duration, random float64) time.Duration {
	return share(timeLeft, minRetryAfterShare+(maxRetryAfterShare-minRetryAfterShare)*random)
}

// pauseSpreadShare is the share of the time left over which callers' retries at the end of a pause are spread.
const pauseSpreadShare = 0.05

// RetryAfterPause returns how long a caller should wait until servers that want no requests for a time take them again; random is
// between 0 and 1. It is not longer than the caller can still be served.
func RetryAfterPause(timeLeft, pause time.Duration, random float64) time.Duration {
	return min(pause+share(timeLeft, pauseSpreadShare*random), share(timeLeft, maxRetryAfterShare))
}

// share returns a fraction of a duration.
func share(d time.Duration, fraction float64) time.Duration {
	return time.Duration(float64(d) * fraction)
}
