package pollenadmit

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Request is a request that wants to start.
type Request struct {
	// Priority is the rank of the request; 0 is the most urgent.
	Priority int
	// Arrived is when the request was received.
	Arrived time.Time
	// Key stands for the servers that the request needs: if one request finds no room, the next with the same key is
	// not offered any.
	Key string
	// Until is when it is turned away.
	Until time.Time
	// Returned is set for a request whose caller was sent away before and has come back. It waits behind all others.
	//
	// Load pattern: callers that were sent away come back while the servers are still full. They will not come once
	// more, so a late answer is better than none, as long as it takes nothing from those that can be answered in time.
	Returned bool
	// Start begins the request if there is room and reports whether it has. The line calls it for one request at a
	// time, so that room that one request has taken is seen by the next.
	Start func(now time.Time) bool
}

// Line holds the requests of an instance that wait for room. The zero value is ready to use.
type Line struct {
	mu      sync.Mutex
	waiting []*entry
	length  atomic.Int32
}

type entry struct {
	request Request
	started chan struct{}
}

// rankAhead is by how much a request may overtake those that arrived before it for each rank between them.
//
// A lasting strict order would starve the lower ranks whenever the higher ones alone exceed the servers.
const rankAhead = 10 * time.Millisecond

// Enter waits until the request has started or is turned away, and reports whether it has started.
func (l *Line) Enter(ctx context.Context, request Request) bool {
	e := &entry{request: request, started: make(chan struct{})}
	now := time.Now()
	l.mu.Lock()
	at, _ := slices.BinarySearchFunc(l.waiting, e, compareEntries)
	l.waiting = slices.Insert(l.waiting, at, e)
	l.start(now)
	l.mu.Unlock()
	select {
	case <-e.started:
		return true
	default:
	}
	timer := time.NewTimer(request.Until.Sub(now))
	defer timer.Stop()
	select {
	case <-e.started:
		return true
	case <-ctx.Done():
	case <-timer.C:
	}
	return !l.leave(e)
}

// Wake starts waiting requests for which there is room; it is to be called when a server has become less busy.
func (l *Line) Wake(now time.Time) {
	if l.length.Load() == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.start(now)
}

// Waiting returns the number of requests in the line.
func (l *Line) Waiting() int { return int(l.length.Load()) }

// start offers room to each request in order. One that finds none does not hold up those behind it that need other
// servers.
func (l *Line) start(now time.Time) {
	var full []string
	l.waiting = slices.DeleteFunc(l.waiting, func(e *entry) bool {
		if slices.Contains(full, e.request.Key) {
			return false
		}
		if !e.request.Start(now) {
			full = append(full, e.request.Key)
			return false
		}
		close(e.started)
		return true
	})
	l.length.Store(int32(len(l.waiting)))
}

// leave takes a request out of the line and reports whether it was still there.
func (l *Line) leave(e *entry) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := len(l.waiting)
	l.waiting = slices.DeleteFunc(l.waiting, func(other *entry) bool { return other == e })
	l.length.Store(int32(len(l.waiting)))
	return len(l.waiting) < before
}

func compareEntries(a, b *entry) int {
	switch {
	case a.request.Returned && !b.request.Returned:
		return 1
	case b.request.Returned && !a.request.Returned:
		return -1
	}
	return a.turn().Compare(b.turn())
}

// turn is the time of arrival, put back by rankAhead for each rank.
func (e *entry) turn() time.Time {
	return e.request.Arrived.Add(time.Duration(e.request.Priority) * rankAhead)
}
