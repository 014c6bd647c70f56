package pollendrain

import "time"

// The times of a Plan as shares of the stop timeout, after which the platform kills the process.
const (
	// CacheShare is the share of the stop timeout for which callers may cache an answer of the directory.
	CacheShare = 0.5
	// closeShare leaves callers who ask the directory late time to connect.
	closeShare = 0.7
	// lastAnswerShare leaves time to send the final answers of all open requests before the exit, also on an instance that gets little
	// processor time.
	lastAnswerShare = 0.85
	// exitShare ends a process that has open requests only just before the platform kills it.
	exitShare = 0.97
)

const (
	// idempotentQuantile is the quantile of latencies that must be left for an idempotent request. Most of those that take longer are
	// served elsewhere, at the cost of the time until the final answer; a refusal always costs the caller a retry, of which it may have
	// one, and the next instance may be stopping, too.
	idempotentQuantile = 0.75
	// onceQuantile is the quantile for a request that may run once only. Its caller may not repeat it if it turns out too long.
	onceQuantile = 0.99
	// onceMargin is the number of such latencies that must be left for a request that may run once only: the servers' queues may be longer
	// than those that the latencies were measured with.
	onceMargin = 2
)

// LatencyQuantile returns the quantile of a route's latencies by which a stopping instance decides whether it takes a request.
func LatencyQuantile(idempotent bool) float64 {
	if idempotent {
		return idempotentQuantile
	}
	return onceQuantile
}

// Plan holds the times of a stop.
type Plan struct {
	Begin time.Time
	// CachesExpire is when no caller may use an answer of the directory that lists the instance any more.
	CachesExpire time.Time
	// Close is when the instance closes its listener and idle connections.
	Close time.Time
	// LastAnswer is when open requests get their final answers.
	LastAnswer time.Time
	// Exit is when the process exits even if answers are still being sent.
	Exit time.Time
}

// NewPlan returns the times of a stop that begins at a time and may take up to the timeout.
func NewPlan(begin time.Time, timeout time.Duration) Plan {
	after := func(share float64) time.Time { return begin.Add(time.Duration(float64(timeout) * share)) }
	return Plan{Begin: begin, CachesExpire: after(CacheShare), Close: after(closeShare), LastAnswer: after(lastAnswerShare), Exit: after(exitShare)}
}

// Request is what is known of a request when the instance decides whether it takes it.
type Request struct {
	Idempotent bool
	// End is when the request ends at the latest, by the timeouts of its caller and its route.
	End time.Time
	// Latency is the LatencyQuantile of the requests of its kind; zero if that is not known.
	Latency time.Duration
}

// Takes reports whether the instance, as it stops, takes a request that has not been sent to a server.
//
// Load pattern: callers with kept connections or cached answers of the directory send long requests shortly before the process exits, while
// other instances stop, too. What this one refuses, another can serve, as long as no server has run it. Latencies of the past are not enough for
// a request that may run once only, unless it comes while callers may rightly use the instance: when many come at once, half of them wait
// in the servers' queues.
func (p Plan) Takes(r Request, now time.Time) bool {
	timeLeft := p.LastAnswer.Sub(now)
	cachesValid := now.Before(p.CachesExpire)
	switch {
	case timeLeft <= 0:
		return false
	case !r.End.After(p.LastAnswer):
		return true
	case r.Idempotent && r.Latency == 0:
		return cachesValid
	case r.Idempotent:
		return r.Latency <= timeLeft
	}
	return cachesValid && r.Latency > 0 && onceMargin*r.Latency <= timeLeft
}
