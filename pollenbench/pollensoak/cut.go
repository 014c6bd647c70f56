package pollensoak

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"pollenline.example/platform/pollenfakeplatform"
)

// stop is a planned stop of an instance.
type stop struct {
	instance int
	// signaledAt is when SIGTERM was sent; exitedAt is when the process had ended, zero before that.
	signaledAt, exitedAt time.Time
}

// The parts of the stop timeout that decide whether the end of an unanswered request is excused.
const (
	// timelyShare is the latest time after SIGTERM at which a request may have been sent for its end to be excused.
	timelyShare = 1.0 / 2
	// finalShare is when the last part of the stop begins: an instance can't wait for servers that still work then.
	finalShare = 5.0 / 6
)

// answeredAtStop replaces NothingCut in LoadStops. It holds while servers are slow, too, since slow servers are sound.
var answeredAtStop = promise{
	"AnsweredAtStop", "a request passed on to a server is answered, unless its time was over or its server still worked at the end of a stop", checkAnsweredAtStop,
}

// allPromises returns the promises of all loads.
func allPromises() []promise { return append(slices.Clone(promises), answeredAtStop) }

func checkAnsweredAtStop(r *record, report func(string, string, ...any)) {
	for _, o := range r.outcomes {
		if r.endedUnanswered(o) && !r.excused(o) {
			report(o.Request.ID, "%s", r.describeCut(o))
		}
	}
}

// endedUnanswered reports whether a request was written completely and its connection ended without a complete answer, although a server
// had received it or the end came too late to have crossed the request.
func (r *record) endedUnanswered(o pollenfakeplatform.Outcome) bool {
	if o.Status != 0 || o.ConnectFailed || o.Written.IsZero() {
		return false
	}
	_, received := r.received[o.Request.ID]
	return received || len(r.runs[o.Request.ID]) > 0 || o.Ended.Sub(o.Written) > r.bounds.CloseRace
}

// excused reports whether the caller's or the route's timeout was reached, or a server still worked on the request in the last part of a
// stop and the request had been sent early enough in the stop.
func (r *record) excused(o pollenfakeplatform.Outcome) bool {
	timeout := o.Request.Timeout
	for _, v := range r.versionsSince(o.Sent.Add(-r.bounds.Apply), o.Ended) {
		for _, route := range v.configuration.Routes {
			if route.Prefix == o.Request.Path {
				timeout = min(timeout, route.Timeout)
			}
		}
	}
	if o.Ended.Sub(o.Sent) >= timeout {
		return true
	}
	s := r.stopOf(o)
	if s == nil || o.Sent.After(s.at(r, timelyShare)) {
		return false
	}
	for _, run := range r.runs[o.Request.ID] {
		if run.StartedAt.Before(s.at(r, 1)) && (run.EndedAt.IsZero() || run.EndedAt.After(s.at(r, finalShare))) {
			return true
		}
	}
	return false
}

// at returns the time at which a share of the stop timeout has passed.
func (s *stop) at(r *record, share float64) time.Time {
	return s.signaledAt.Add(time.Duration(share * float64(r.bounds.StopTimeout)))
}

// stopOf returns the stop of the process that a request was sent to, if it began before the request ended, or nil.
func (r *record) stopOf(o pollenfakeplatform.Outcome) *stop {
	for _, s := range r.stops {
		if s.instance == r.instanceNumber(o) && !s.signaledAt.After(o.Ended) && (s.exitedAt.IsZero() || !o.Sent.After(s.exitedAt)) {
			return s
		}
	}
	return nil
}

// describeCut tells when a request was sent and cut, as times since SIGTERM was sent to its instance, and what servers did with it.
func (r *record) describeCut(o pollenfakeplatform.Outcome) string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s to entry-%d: ", o.Request.Method, o.Request.Path, r.instanceNumber(o))
	zero := o.Sent
	after := func(t time.Time) time.Duration { return t.Sub(zero).Round(time.Millisecond) }
	if s := r.stopOf(o); s != nil {
		zero = s.signaledAt
		fmt.Fprintf(&text, "times since SIGTERM: sent at %v, process ended at %v", after(o.Sent), after(s.exitedAt))
	} else {
		text.WriteString("no SIGTERM before the end, times since the request was sent")
	}
	fmt.Fprintf(&text, ", connection ended at %v (%v)", after(o.Ended), o.Err)
	if received, ok := r.received[o.Request.ID]; ok {
		fmt.Fprintf(&text, ", received by a server at %v", after(received))
	}
	for _, run := range r.runs[o.Request.ID] {
		fmt.Fprintf(&text, ", ran on %s from %v", run.Server, after(run.StartedAt))
		if !run.EndedAt.IsZero() {
			fmt.Fprintf(&text, " to %v", after(run.EndedAt))
		}
	}
	return text.String()
}
