package pollenforward

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"pollenline.example/pollen/pollencatalog"
	"pollenline.example/pollen/pollengate"
	"pollenline.example/pollen/pollenrollout"
)

// recordAnnouncements records whether an answer of the server itself says that it leaves or wants no requests for a time. At the end
// of a pause, waiting requests are tried again.
func (f *Forwarder) recordAnnouncements(server *pollencatalog.Server, answer *Answer, err error, now time.Time) {
	leaving, retryAfter := announcement(answer, err)
	until := f.config.Gate.RecordAnswer(server, leaving, retryAfter, now)
	if retryAfter <= 0 {
		return
	}
	time.AfterFunc(until.Sub(now), func() {
		f.config.Gate.Expire(time.Now())
		f.queue.Dispatch(time.Now())
	})
}

// announcement returns whether an answer of the server itself says that it leaves, and for how long it wants no requests.
func announcement(answer *Answer, err error) (leaving bool, retryAfter time.Duration) {
	if err == nil {
		return answer.Leaving, answer.RetryAfter
	}
	var notRun *NotRunError
	if errors.As(err, &notRun) && !notRun.Misdirected {
		return notRun.Leaving, notRun.RetryAfter
	}
	return false, 0
}

// recordLeaving records that servers said that they leave, in answers that another instance got and this one relays.
func (f *Forwarder) recordLeaving(ids []string, now time.Time) {
	if len(ids) == 0 {
		return
	}
	f.config.Table().ForEachServer(func(server *pollencatalog.Server) {
		if slices.Contains(ids, server.ID) {
			f.config.Gate.RecordAnswer(server, true, 0, now)
		}
	})
}

// countSendableBy returns the number of services that have a server, available or not, whose statements allow a request of the call by
// a time.
func (c *call) countSendableBy(now, by time.Time) int {
	count := 0
	for i := range c.subrequests {
		if len(c.sendableBy(c.forwarder.config.Table().AppendEligible(nil, c.subrequests[i].service), now, by)) > 0 {
			count++
		}
	}
	return count
}

// refuseHeldBack returns a *RefusedError if too few services have a server that may be sent a request by a time.
func (c *call) refuseHeldBack(now, by time.Time) error {
	count := c.countBelowLimit(now, by)
	if count >= c.requiredAnswers() {
		return nil
	}
	return &RefusedError{
		Cause:      fmt.Sprintf("servers that take requests for %d of %d services, %d needed", count, len(c.subrequests), c.requiredAnswers()),
		RetryAfter: c.retryAfter(now),
	}
}

// retryAfter returns how long a refused caller should wait: until the pauses of enough servers are over, or a random share of the
// time left if the call does not lack servers because of pauses.
func (c *call) retryAfter(now time.Time) time.Duration {
	timeLeft := c.schedule.End.Sub(now)
	if end, paused := c.pauseEnd(now); paused {
		return RetryAfterPause(timeLeft, end.Sub(now), rand.Float64())
	}
	return RetryAfterOverload(timeLeft, rand.Float64())
}

// pauseEnd returns the earliest time at which enough services have a server that may be sent a request, or false if that is now or
// does not depend on the end of a pause.
func (c *call) pauseEnd(now time.Time) (time.Time, bool) {
	if !c.forwarder.config.Gate.Holding() {
		return time.Time{}, false
	}
	type opening struct {
		at     time.Time
		reason pollengate.Reason
	}
	table := c.forwarder.config.Table()
	openings := make([]opening, 0, len(c.subrequests))
	for i := range c.subrequests {
		var first *opening
		for _, server := range c.admittedServers(table, c.subrequests[i].service, pollenrollout.Any, now) {
			at, reason := c.forwarder.config.Gate.NextSend(server, now, now)
			if reason == pollengate.Leaving || c.forwarder.config.Ranking.Ejected(server, now) {
				continue
			}
			if first == nil || at.Before(first.at) {
				first = &opening{at: at, reason: reason}
			}
		}
		if first != nil {
			openings = append(openings, *first)
		}
	}
	slices.SortFunc(openings, func(a, b opening) int { return a.at.Compare(b.at) })
	needed := c.requiredAnswers()
	if len(openings) < needed || openings[needed-1].reason != pollengate.Paused {
		return time.Time{}, false
	}
	return openings[needed-1].at, true
}

// recordHeldBack counts for the log the servers of a refused call's services that may not be sent a request now, by reason.
func (c *call) recordHeldBack(err error, now time.Time) {
	var refused *RefusedError
	if !errors.As(err, &refused) {
		return
	}
	for i := range c.subrequests {
		for _, server := range c.forwarder.config.Table().ServersOf(c.subrequests[i].service) {
			c.stats.HeldBack[c.forwarder.config.Gate.Check(server, c.request.Received, now)]++
		}
	}
}

// waitDeadline returns until when the call waits for servers that are held back. A call that no server may have run does not wait past
// its admission deadline for the end of a pause: its caller can be told to try again, and another instance need not be held back.
func (c *call) waitDeadline(now time.Time) time.Time {
	if !c.forwarder.config.Gate.Holding() || c.mayHaveRun || !c.noneInFlight() {
		return c.schedule.End
	}
	if deadline := c.schedule.admissionDeadline(c.callerRetry); deadline.After(now) {
		return deadline
	}
	return now
}
