package pollenforward

import (
	"time"

	"pollenline.example/pollen/pollencatalog"
)

// Schedule holds the moments at which a request is hedged, sealed and ended.
type Schedule struct {
	// RoomLimit is when a request is refused for which no server has had room.
	RoomLimit time.Time
	// ReturnedRoomLimit is that moment for a caller that has come back: a late answer is still of use to it.
	ReturnedRoomLimit time.Time
	// Hedge is when services without an answer are asked once more.
	Hedge time.Time
	// Seal is when an answer with enough shards is given without the others.
	Seal time.Time
	// End is when the request ends in any case.
	End time.Time
	// Limit is the end of the caller's patience or the route's timeout, which servers are told.
	Limit time.Time
}

// ScheduleConfig holds what a Schedule depends on.
type ScheduleConfig struct {
	Route    *pollencatalog.Route
	Received time.Time
	Patience time.Duration
	// CallerTrip is the time that a request and its answer spend on the way between caller and instance.
	CallerTrip time.Duration
	// Typical is a high quantile of the latencies of the route's servers, zero if it is not known.
	Typical time.Duration
}

const (
	// sealMargin is the share of the objective that is kept for merging and sending.
	sealMargin = 0.06
	// earliestHedge and latestHedge bound the hedge as shares of the objective: earlier ones waste work, later
	// ones are answered too late.
	earliestHedge = 0.08
	latestHedge   = 0.4
	// roomShare is the share of the objective within which a request is started or refused: a caller that hears so
	// early enough can still be served in good time when it comes back.
	roomShare = 0.25
	// returnedRoomShare is the share of the time left after which a caller that has come back is refused: it hears so early
	// enough to turn elsewhere, and the servers' queues will hardly become shorter in the rest.
	returnedRoomShare = 0.45
	// endMargin is the share of the time left that is kept for an answer to arrive before the caller leaves, at
	// most longestEndMargin.
	endMargin        = 0.02
	longestEndMargin = 50 * time.Millisecond
	// defaultPatience is used when neither the caller nor the route sets a limit.
	defaultPatience = 30 * time.Second
)

// roomLimit returns when a request that has found no room is refused.
func (s *Schedule) roomLimit(returned bool) time.Time {
	if returned {
		return s.ReturnedRoomLimit
	}
	return s.RoomLimit
}

// NewSchedule sets the moments of a request.
//
// Load pattern: single servers stall or turn slow. Hedging at a high quantile of the measured latencies costs few
// extra requests on an ordinary day; the bound by the objective keeps it useful when many servers are slow.
func NewSchedule(config ScheduleConfig) Schedule {
	limit := defaultPatience
	if config.Route.Timeout > 0 {
		limit = config.Route.Timeout
	}
	if config.Patience > 0 {
		limit = min(limit, config.Patience)
	}
	objective := config.Route.Objective
	if objective <= 0 || objective > limit {
		objective = limit
	}
	hedge := config.Typical
	if hedge == 0 {
		hedge = share(objective, latestHedge)
	}
	hedge = min(max(hedge, share(objective, earliestHedge)), share(objective, latestHedge))
	end := limit - min(share(limit, endMargin), longestEndMargin)
	seal := min(objective-config.CallerTrip-share(objective, sealMargin), end)
	room := share(objective, roomShare) - config.CallerTrip/2
	return Schedule{
		RoomLimit:         config.Received.Add(max(room, 0)),
		ReturnedRoomLimit: config.Received.Add(max(min(share(limit, returnedRoomShare), end-max(seal, objective/2)), 0)),
		Hedge:             config.Received.Add(hedge),
		Seal:              config.Received.Add(max(seal, objective/2)),
		End:               config.Received.Add(end),
		Limit:             config.Received.Add(limit),
	}
}

// These bound when a refused caller is asked to come back, as shares of the time that it has left. Callers wait
// up to a third of it, so the upper bound lets one more try fall as late as it is of use.
const (
	soonestReturn = 0.15
	latestReturn  = 0.3
)

// ReturnWhenBack returns when to come back to a tier that lacks servers or configuration, of which nobody knows how
// long it takes: as late as the caller can still be served.
func ReturnWhenBack(timeLeft time.Duration) time.Duration { return share(timeLeft, latestReturn) }

// ReturnWhenFree returns when to come back after servers had no room.
//
// Load pattern: more is asked than the servers' slots carry. Callers who return together would be refused together, so
// their returns are spread.
func ReturnWhenFree(timeLeft time.Duration, random float64) time.Duration {
	return share(timeLeft, soonestReturn+(latestReturn-soonestReturn)*random)
}

// share returns a part of a duration.
func share(d time.Duration, part float64) time.Duration { return time.Duration(float64(d) * part) }
