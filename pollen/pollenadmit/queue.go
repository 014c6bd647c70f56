package pollenadmit

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Request describes a request that waits for servers with capacity.
type Request struct {
	// Priority is the rank of the request; 0 is the most urgent.
	Priority int
	// Team names the team that sent the request; empty if there are no teams. Requests of one priority share the capacity fairly
	// by team.
	Team string
	// Arrived is when the request was received.
	Arrived time.Time
	// CapacityKey identifies the set of servers that the request needs. A request without capacity blocks those behind
	// it that have the same key.
	CapacityKey string
	// Deadline is when the request is refused if it has not started.
	Deadline time.Time
	// CallerRetry is set if the caller repeats a refused request. Such a request waits behind all others.
	//
	// Load pattern: refused callers retry while the servers are still busy. They will not retry again, so a late answer
	// is better than none, as long as it does not delay requests that can be answered in time.
	CallerRetry bool
	// TryStart starts the request if its servers have capacity, and reports whether it did. The queue calls it for one
	// request at a time, so that each call sees the capacity that earlier requests use.
	TryStart func(now time.Time) bool
}

// Queue holds the requests of an instance that wait for capacity. The zero value is ready to use.
type Queue struct {
	mu sync.Mutex
	// waiting is in the order of compareEntries; length is its length, read without the mutex.
	waiting []*entry
	length  atomic.Int32
	// blockedAt is when a first try of each capacity key lacked capacity last.
	blockedAt map[string]time.Time
	// shares holds the teams' shares of the starts by priority.
	shares map[int]*fairShares
	// paces holds how fast the waiting requests of each capacity key start.
	paces map[string]*pace
	// retriedAt is when a caller's retry started last.
	retriedAt time.Time
	// triedAt is when waiting requests were tried last.
	triedAt time.Time
}

// entry holds a waiting request; started is closed once the request has started.
type entry struct {
	request Request
	started chan struct{}
}

// priorityInterval is the difference in arrival time that one priority rank makes up for.
//
// Strict priorities would starve the lower ranks whenever the higher ones alone exceed the servers' capacity.
const priorityInterval = 10 * time.Millisecond

const (
	// callerRetryHold is how long no first try may have lacked capacity before a caller's retry starts.
	//
	// Load pattern: callers request as much as the slots can run or somewhat more, and refused ones retry. Whenever an instance has no
	// first try waiting, its retries take the capacity that the next ones need; those are refused and retried in turn.
	callerRetryHold = 150 * time.Millisecond
	// callerRetryGap is the time between starts of callers' retries, so that those that have waited for a lull do not end it.
	callerRetryGap = 20 * time.Millisecond
	// callerRetryInterval is how often a waiting retry is tried.
	callerRetryInterval = 10 * time.Millisecond
)

// Admit waits until the request has started, its deadline has passed or ctx is done, and reports whether it has started.
// Even a request whose deadline has passed starts if its servers have capacity at once.
func (q *Queue) Admit(ctx context.Context, request Request) bool {
	e := &entry{request: request, started: make(chan struct{})}
	now := time.Now()
	q.mu.Lock()
	index, _ := slices.BinarySearchFunc(q.waiting, e, compareEntries)
	q.waiting = slices.Insert(q.waiting, index, e)
	q.startReady(now)
	hopeless := q.isHopeless(e, now)
	q.mu.Unlock()
	select {
	case <-e.started:
		return true
	default:
	}
	if hopeless {
		return !q.remove(e)
	}
	timer := time.NewTimer(request.Deadline.Sub(now))
	defer timer.Stop()
	var retry <-chan time.Time
	if request.CallerRetry {
		// No server needs to finish a request when the hold of callers' retries ends.
		ticker := time.NewTicker(callerRetryInterval)
		defer ticker.Stop()
		retry = ticker.C
	}
	for {
		select {
		case <-e.started:
			return true
		case now := <-retry:
			q.dispatchIdle(now)
			continue
		case <-ctx.Done():
		case <-timer.C:
		}
		return !q.remove(e)
	}
}

// Dispatch starts the waiting requests whose servers have capacity. It must be called when a server finishes a request.
func (q *Queue) Dispatch(now time.Time) {
	if q.length.Load() == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.startReady(now)
}

// dispatchIdle is Dispatch if no request was tried within callerRetryInterval.
func (q *Queue) dispatchIdle(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if now.Sub(q.triedAt) >= callerRetryInterval {
		q.startReady(now)
	}
}

// isHopeless reports whether a request that has just begun to wait will not start by its deadline at the pace at which those with
// its capacity key start, if it has to wait for all of its team that are ahead. The caller must hold the mutex.
//
// Load pattern: callers send three times what the servers can run. A caller that is refused at once has more time left to
// try again. Callers' retries wait for a burst to end, and the pace during the burst says nothing about that: 13 of 510 instead of
// none were refused in TestServesCallersThatRetryAfterBurst.
func (q *Queue) isHopeless(e *entry, now time.Time) bool {
	key, ahead, alone := e.request.CapacityKey, 0, true
	behind := false
	for _, other := range q.waiting {
		switch {
		case other == e:
			behind = true
		case other.request.CapacityKey != key:
		default:
			alone = false
			if !behind && other.request.Team == e.request.Team {
				ahead++
			}
		}
	}
	if q.paces == nil {
		q.paces = make(map[string]*pace)
	}
	if q.paces[key] == nil {
		q.paces[key] = &pace{}
	}
	if alone {
		q.paces[key].recordWait(now)
	}
	return !e.request.CallerRetry && q.paces[key].expectedWait(ahead, now) > e.request.Deadline.Sub(now)
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return int(q.length.Load()) }

// startReady starts the waiting requests whose servers have capacity, in order. A request without capacity blocks those
// behind it that have the same capacity key, and no others.
func (q *Queue) startReady(now time.Time) {
	var blocked []string
	ready := func(e *entry) bool {
		if slices.Contains(blocked, e.request.CapacityKey) {
			return false
		}
		if e.request.CallerRetry && (now.Sub(q.blockedAt[e.request.CapacityKey]) < callerRetryHold || now.Sub(q.retriedAt) < callerRetryGap) {
			return false
		}
		if !e.request.TryStart(now) {
			if !e.request.CallerRetry {
				if q.blockedAt == nil {
					q.blockedAt = make(map[string]time.Time)
				}
				q.blockedAt[e.request.CapacityKey] = now
			}
			blocked = append(blocked, e.request.CapacityKey)
			return false
		}
		close(e.started)
		if e.request.CallerRetry {
			q.retriedAt = now
		}
		if p := q.paces[e.request.CapacityKey]; p != nil && e.request.Arrived.Before(now) {
			p.recordStart(now)
		}
		if e.request.Team != "" {
			q.recordStart(e.request)
		}
		return true
	}
	q.triedAt = now
	started := make(map[*entry]bool)
	for _, e := range startOrder(q.waiting, q.shares) {
		if ready(e) {
			started[e] = true
		}
	}
	if len(started) > 0 {
		q.waiting = slices.DeleteFunc(q.waiting, func(e *entry) bool { return started[e] })
	}
	q.length.Store(int32(len(q.waiting)))
}

// recordStart counts a start for the share of its team.
func (q *Queue) recordStart(request Request) {
	if q.shares == nil {
		q.shares = make(map[int]*fairShares)
	}
	shares, ok := q.shares[request.Priority]
	if !ok {
		shares = &fairShares{}
		q.shares[request.Priority] = shares
	}
	shares.recordStart(request.Team)
}

// remove removes a request and reports whether it was still waiting.
func (q *Queue) remove(e *entry) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	before := len(q.waiting)
	q.waiting = slices.DeleteFunc(q.waiting, func(other *entry) bool { return other == e })
	q.length.Store(int32(len(q.waiting)))
	return len(q.waiting) < before
}

// compareEntries orders callers' retries after all other requests, and both by effective arrival.
func compareEntries(a, b *entry) int {
	switch {
	case a.request.CallerRetry && !b.request.CallerRetry:
		return 1
	case b.request.CallerRetry && !a.request.CallerRetry:
		return -1
	}
	return a.effectiveArrival().Compare(b.effectiveArrival())
}

// effectiveArrival returns the time of arrival plus priorityInterval for each rank below the most urgent.
func (e *entry) effectiveArrival() time.Time {
	return e.request.Arrived.Add(time.Duration(e.request.Priority) * priorityInterval)
}
