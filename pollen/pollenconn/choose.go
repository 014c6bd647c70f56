package pollenconn

import "time"

// Phase is how far the current request on a connection has come.
type Phase int

// The phases of a connection.
const (
	// Waiting means that the connection was opened and nothing has come on it.
	Waiting Phase = iota
	// Reading means that a request has begun to come and has not come completely.
	Reading
	// Serving means that a request is handled, or that its answer is being written.
	Serving
	// Idle means that a request was answered and nothing has come since.
	Idle
)

// State is what the choice of a connection depends on.
type State struct {
	Phase Phase
	// Since is when the connection came to its phase.
	Since time.Time
	// BlockedSince is when the write began that its client has not read; zero if nothing is being written.
	BlockedSince time.Time
	// Answers is the number of requests that were answered on the connection.
	Answers int
	// Retiring is set once the connection is to be closed after its answer.
	Retiring bool
}

const (
	// promptness is how long an ordinary client takes at most from one step to the next: to send its request once it is connected, and to
	// read what was sent to it. Callers give up on an instance that has not read their request for a second.
	promptness = time.Second
	// none means that no connection may be closed.
	none = -1
)

// choose returns the index of the connection that is closed for a new one at a full listener, or none.
//
// Load pattern: a crowd holds as many connections as there may be, and is silent, sends without end or reads no answers, while ordinary
// callers connect and send their request at once. What an ordinary client would have left by now goes first, oldest first; then the
// connection that has been idle for longest, whose client can connect again; then the oldest on which no request has come completely;
// then that whose client has not read its answer for longest. A request that is being handled is never ended for another.
func choose(states []State, now time.Time) int {
	chosen, chosenRank := none, unclosable
	var chosenSince time.Time
	for i, s := range states {
		rank, since := closingRank(s, now)
		if rank < chosenRank || rank == chosenRank && rank != unclosable && since.Before(chosenSince) {
			chosen, chosenRank, chosenSince = i, rank, since
		}
	}
	return chosen
}

// The ranks in which connections are closed, lowest first.
const (
	overdue = iota
	unused
	incomplete
	unread
	unclosable
)

// closingRank returns a connection's rank, and the time by which connections of one rank are ordered.
func closingRank(s State, now time.Time) (rank int, since time.Time) {
	switch {
	case s.Phase == Idle:
		return unused, s.Since
	case s.Phase == Serving && !s.BlockedSince.IsZero() && now.Sub(s.BlockedSince) >= promptness:
		return unread, s.BlockedSince
	case s.Phase == Serving:
		return unclosable, time.Time{}
	case now.Sub(s.Since) >= promptness:
		return overdue, s.Since
	}
	return incomplete, s.Since
}

// chooseRetiring returns the index of the connection that is closed once its request is answered, or none.
//
// Load pattern: each client of a crowd has a request in hand all the time, so that choose finds nothing to close. The connection with the most
// answers goes: ordinary callers lose nothing by connecting again, and a crowd can't hold all connections for long.
func chooseRetiring(states []State) int {
	chosen := none
	for i, s := range states {
		if s.Phase == Serving && !s.Retiring && (chosen == none || s.Answers > states[chosen].Answers) {
			chosen = i
		}
	}
	return chosen
}
