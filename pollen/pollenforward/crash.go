package pollenforward

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"pollenline.example/pollen/pollencatalog"
	"pollenline.example/pollen/pollenrollout"
	"pollenline.example/pollen/pollensuspect"
)

// crashDetector finds out whether servers whose connections broke have ended. The zero value is ready to use.
type crashDetector struct {
	mu sync.Mutex
	// checks holds the newest check of each server whose connections broke lately.
	checks map[pollencatalog.Incarnation]*crashCheck
}

// crashCheck is one attempt to connect to a server after a connection to it broke.
type crashCheck struct {
	startedAt time.Time
	// done is closed when refused is set.
	done    chan struct{}
	refused bool
}

// crashCheckReuse is how long the result of a check holds for other requests on the server: a server that ends breaks all of
// its connections at about the same time.
const crashCheckReuse = 500 * time.Millisecond

// detectCrash reports whether the server of a request whose connection broke has ended, and records that as evidence against
// the request.
//
// Connections also break when a server drops an answer or is at its connection limit, and when a network device resets
// them; only a server that has ended, or is cut off, refuses a new one. A server that has announced its end, or has left the
// table, ends by itself.
func (c *call) detectCrash(request ServerRequest, sentAt time.Time) bool {
	f := c.forwarder
	if !f.hasEnded(request) {
		return false
	}
	f.config.Ranking.RecordRefusal(request.Server, time.Now())
	if c.answered.Load() || f.config.Reach.CutOff() {
		return false
	}
	expected := !f.config.Table().Accepts(request.Server) || f.config.Gate.IsLeaving(request.Server)
	if !expected {
		f.config.Suspects.RecordCrash(request.Request.Content, c.route.Name, request.Server.ID, sentAt, time.Now())
	}
	klog.InfoS("Server ended with a request in flight", "server", request.Server.ID, "service", request.Server.Service,
		"leaving", expected, "requestID", request.Request.ID, "content", request.Request.Content.String(),
		"sentMsAgo", time.Since(sentAt).Milliseconds())
	return !expected
}

// maxCrashCheckWait is how long a failed attempt is held back for a check of its server, which takes a network round trip.
const maxCrashCheckWait = 50 * time.Millisecond

// awaitCrashCheck reports whether the server of an attempt whose connection broke is known to have ended within
// maxCrashCheckWait. A check that takes longer still counts as evidence.
func (c *call) awaitCrashCheck(request ServerRequest, sentAt time.Time) bool {
	crashed := make(chan bool, 1)
	go func() { crashed <- c.detectCrash(request, sentAt) }()
	timer := time.NewTimer(maxCrashCheckWait)
	defer timer.Stop()
	select {
	case result := <-crashed:
		return result
	case <-timer.C:
	case <-c.exchangeCtx.Done():
	}
	return false
}

// hasEnded reports whether the server refuses a new connection, by a check that one of the callers makes for all.
func (f *Forwarder) hasEnded(request ServerRequest) bool {
	d := &f.crashes
	key := request.Server.Incarnation()
	now := time.Now()
	d.mu.Lock()
	check, ok := d.checks[key]
	if ok && now.Sub(check.startedAt) < crashCheckReuse {
		d.mu.Unlock()
		<-check.done
		return check.refused
	}
	check = &crashCheck{startedAt: now, done: make(chan struct{})}
	if d.checks == nil {
		d.checks = make(map[pollencatalog.Incarnation]*crashCheck)
	}
	for other, c := range d.checks {
		if now.Sub(c.startedAt) >= crashCheckReuse {
			delete(d.checks, other)
		}
	}
	d.checks[key] = check
	d.mu.Unlock()
	// The caller's request may end meanwhile, and the check serves other requests too.
	check.refused = isRefused(f.config.Exchanger.Connect(context.Background(), request.Server, request.ConnectionLimit))
	close(check.done)
	return check.refused
}

// isRefused reports whether a server refused a connection.
func isRefused(err error) bool {
	if err == nil {
		return false
	}
	var unsent *UnsentError
	return errors.As(err, &unsent) && unsent.Refused
}

// maxCrashRounds is the number of rounds of attempts under which servers ended after which a call that no server has answered ends.
const maxCrashRounds = 2

// decideCaution decides how cautiously the call is sent, and returns a *HarmfulRequestError if it must not be sent. The
// evidence may change while the call waits, and by its own attempts.
func (c *call) decideCaution(now time.Time) error {
	decision, verdict := c.forwarder.config.Suspects.Decide(c.request.Content, c.route.Name, now)
	if decision == pollensuspect.Refuse {
		return &HarmfulRequestError{Verdict: verdict}
	}
	c.caution = max(c.caution, decision)
	c.stats.Cautious = c.stats.Cautious || c.caution != pollensuspect.Send
	return nil
}

// mustStop reports whether no more attempts may be sent and none is in flight, because servers ended under the call or other
// calls of the same content.
func (c *call) mustStop(now time.Time) bool {
	if c.caution != pollensuspect.SendSuspect || c.answered.Load() || !c.noneInFlight() {
		return false
	}
	return c.crashRounds >= maxCrashRounds || !c.canTest(now) || c.decideCaution(now) != nil
}

// canTest reports whether any unanswered service has a server for an attempt under which it may end.
func (c *call) canTest(now time.Time) bool {
	return slices.ContainsFunc(c.subrequests, func(s subrequest) bool { return s.answer == nil && !c.risksLastServer(&s, now) })
}

// maySend reports whether one more attempt may be sent now.
//
// Load pattern: a query ends each server that begins to run it, at every shard and at both replicas. Once a server has
// ended under a call that none has answered, or if there is evidence against the request, it goes to one server at a time
// until one has answered.
func (c *call) maySend(now time.Time) bool {
	switch {
	case c.caution == pollensuspect.Send || c.answered.Load():
		return true
	case !c.noneInFlight() || c.crashRounds >= maxCrashRounds:
		return false
	}
	return c.caution == pollensuspect.SendCanary || c.forwarder.config.Suspects.MayTest(c.request.Content, now)
}

// sendOrder returns the indexes of the subrequests in the order in which they are sent. It is random for a call that goes to
// one server first: others that are sent with the same caution must not meet it at the same servers again and again, as each
// of them would count as a reason for the servers' ends.
func (c *call) sendOrder() []int {
	if c.caution != pollensuspect.Send {
		return rand.Perm(len(c.subrequests))
	}
	order := make([]int, len(c.subrequests))
	for i := range order {
		order[i] = i
	}
	return order
}

// hedgesAllowed returns how many attempts in flight may be sent to a second server now.
//
// Load pattern: a query ends each server that begins to run it, and the first ones have not begun when hedges are due. A call
// that no server has answered by then sends one hedge; queries over many shards nearly always have an answer.
func (c *call) hedgesAllowed() int {
	switch {
	case c.answered.Load():
		return len(c.subrequests)
	case c.caution == pollensuspect.SendSuspect:
		return 0
	}
	return 1
}

// risksLastServer reports whether a request that may end its server would take a service's last available one, although the
// service has others.
//
// Load pattern: a query has ended one server of each shard. Its next attempt must not take a shard away from all queries.
func (c *call) risksLastServer(s *subrequest, now time.Time) bool {
	if c.caution != pollensuspect.SendSuspect || c.answered.Load() {
		return false
	}
	servers := slices.DeleteFunc(c.admittedServers(c.forwarder.config.Table(), s.service, pollenrollout.Any, now), c.forwarder.config.Gate.IsLeaving)
	if len(servers) < 2 {
		return false
	}
	if now.Sub(c.endedServersAt) >= pendingRetryInterval {
		c.endedServers, c.endedServersAt = c.forwarder.config.Suspects.EndedLately(c.request.Content, now), now
	}
	servers = slices.DeleteFunc(servers, func(server *pollencatalog.Server) bool { return c.endedServers[server.ID] })
	return c.forwarder.config.Ranking.CountAvailable(servers, now) < 2
}

// maxShareWait is how long the reply to a call under which servers ended is held back until the other instances know that.
const maxShareWait = 50 * time.Millisecond

// awaitShared waits until the other instances know of the servers that ended under the call, so that the caller's next attempt
// does not end more of them there.
func (c *call) awaitShared(ctx context.Context) {
	if c.crashRounds == 0 || c.answered.Load() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, maxShareWait)
	defer cancel()
	c.forwarder.config.Suspects.AwaitShared(ctx)
}

// recordCrash records that a server ended under an attempt that was sent at a time.
func (c *call) recordCrash(sentAt, now time.Time) {
	if c.answered.Load() {
		return
	}
	c.caution, c.stats.Cautious = pollensuspect.SendSuspect, true
	if !sentAt.Before(c.lastCrash) {
		c.crashRounds++
	}
	c.lastCrash = now
}

// reviewCaution lets a call that was held back go on once a server has answered: what waited is sent, and hedges begin anew.
func (c *call) reviewCaution(now time.Time) {
	if !c.answered.Load() {
		return
	}
	if c.caution != pollensuspect.Send {
		c.caution = pollensuspect.Send
		c.hedged, c.hedgesHeld = false, false
		c.schedule.HedgeAt = now.Add(c.hedgeDelay)
	}
	if c.hedgesHeld {
		c.hedged, c.hedgesHeld = false, false
		c.schedule.HedgeAt = now
	}
}
