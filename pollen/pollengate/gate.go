package pollengate

import (
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"pollenline.example/pollen/pollencatalog"
)

// Limits holds the request rates that servers state.
type Limits interface {
	// NextSend returns when a request may be sent to a server: now if that is not later.
	NextSend(server *pollencatalog.Server, table *pollencatalog.Table, now time.Time) time.Time
}

// ColdLimits limits requests to servers that are warming up.
type ColdLimits interface {
	// Holds reports whether a server is cold and may not be sent a request now. It changes no state.
	Holds(server *pollencatalog.Server, table *pollencatalog.Table, now time.Time) bool
}

// Health tells which servers fail.
type Health interface {
	// Ejected reports whether a server is ejected or unresponsive. It changes no state.
	Ejected(server *pollencatalog.Server, now time.Time) bool
}

// Versions decides which versions of a service get traffic.
type Versions interface {
	// Admits reports whether requests may be sent to the server's version. It changes no state.
	Admits(server *pollencatalog.Server, table *pollencatalog.Table, now time.Time) bool
}

// Config holds the dependencies of a Gate.
type Config struct {
	// DrainNotice is the time after its announcement from which a leaving server must get no newer requests. Zero means
	// DefaultDrainNotice.
	DrainNotice time.Duration
	// Table returns the current table.
	Table      func() *pollencatalog.Table
	Limits     Limits
	ColdLimits ColdLimits
	Health     Health
	// Versions is nil if servers of all versions get requests.
	Versions Versions
}

const (
	// DefaultDrainNotice is the DrainNotice of a Gate that is configured without one.
	DefaultDrainNotice = 3 * time.Second
	// lastResortShare is the share of the drain notice for which a leaving server is used if its service has no other. The rest
	// is a margin.
	lastResortShare = 0.5
	// maxPause bounds how long a server is sent no requests after one refusal.
	maxPause = 30 * time.Second
	// goneRetention is how long announcements outlive a server's entry in the table. Entries return unchanged when a lease is
	// granted anew or the store comes back from a copy.
	goneRetention = time.Minute
)

// Gate decides whether servers may be sent requests. It holds what servers have announced to this instance.
type Gate struct {
	config      Config
	drainNotice atomic.Int64

	// held is the number of announcements. It spares the lock while there are none.
	held atomic.Int32

	mu            sync.Mutex
	announcements map[pollencatalog.Incarnation]*announcement
}

// announcement is what one incarnation of a server has stated in its answers.
type announcement struct {
	// leavingSince is when the first answer arrived that says that the server leaves; zero if there was none.
	leavingSince time.Time
	// pausedUntil is the end of the latest pause that the server has asked for.
	pausedUntil time.Time
	// goneSince is when the table was first seen without the incarnation; zero if it has it.
	goneSince time.Time
}

// New returns a Gate without announcements.
func New(config Config) *Gate {
	g := &Gate{config: config, announcements: make(map[pollencatalog.Incarnation]*announcement)}
	g.Configure(config.DrainNotice)
	return g
}

// Configure replaces the drain notice; zero means DefaultDrainNotice.
func (g *Gate) Configure(drainNotice time.Duration) {
	if drainNotice <= 0 {
		drainNotice = DefaultDrainNotice
	}
	g.drainNotice.Store(int64(drainNotice))
}

// RecordAnswer records what an answer that arrived at a time says about further requests: whether the server leaves, and for how
// long it wants none, zero if it does not say so. It returns the time until which the server wants none.
func (g *Gate) RecordAnswer(server *pollencatalog.Server, leaving bool, retryAfter time.Duration, now time.Time) (pausedUntil time.Time) {
	if !leaving && retryAfter <= 0 {
		return time.Time{}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	key := server.Incarnation()
	a, ok := g.announcements[key]
	if !ok {
		a = &announcement{}
		g.announcements[key] = a
		g.held.Store(int32(len(g.announcements)))
	}
	if leaving && a.leavingSince.IsZero() {
		a.leavingSince = now
		klog.InfoS("Server announces that it leaves", "server", server.ID, "service", server.Service)
	}
	if until := now.Add(min(retryAfter, maxPause)); until.After(now) && until.After(a.pausedUntil) {
		if !a.pausedUntil.After(now) {
			klog.InfoS("Server asks for a pause", "server", server.ID, "service", server.Service, "pauseMs", until.Sub(now).Milliseconds())
		}
		a.pausedUntil = until
	}
	return a.pausedUntil
}

// announced returns a copy of what a server has announced.
func (g *Gate) announced(server *pollencatalog.Server) announcement {
	if g.held.Load() == 0 {
		return announcement{}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if a, ok := g.announcements[server.Incarnation()]; ok {
		return *a
	}
	return announcement{}
}

// Holding reports whether any server may be held back because of an announcement.
func (g *Gate) Holding() bool { return g.held.Load() > 0 }

// IsLeaving reports whether a server has announced that it leaves.
func (g *Gate) IsLeaving(server *pollencatalog.Server) bool {
	return !g.announced(server).leavingSince.IsZero()
}

// PausedUntil returns the end of the pause that a server has asked for, or false if none is in force.
func (g *Gate) PausedUntil(server *pollencatalog.Server, now time.Time) (time.Time, bool) {
	until := g.announced(server).pausedUntil
	return until, until.After(now)
}

// Announced returns Leaving or Paused if a server has stated that it must not be sent a request that its caller sent at sentAt,
// else None.
//
// A leaving server is used only while its service has no other server that may be sent requests, and for requests that were
// sent within lastResortShare of the drain notice after the announcement.
func (g *Gate) Announced(server *pollencatalog.Server, sentAt, now time.Time) Reason {
	_, reason := g.nextByAnnouncement(server, sentAt, now)
	return reason
}

// nextByAnnouncement returns from when on a server may be sent a request, and the reason if that is not now; never if the reason
// is Leaving.
func (g *Gate) nextByAnnouncement(server *pollencatalog.Server, sentAt, now time.Time) (time.Time, Reason) {
	if g.held.Load() == 0 {
		return now, None
	}
	a := g.announced(server)
	if !a.leavingSince.IsZero() && !g.isLastResort(server, a, sentAt, now) {
		return now, Leaving
	}
	if a.pausedUntil.After(now) {
		return a.pausedUntil, Paused
	}
	return now, None
}

// isLastResort reports whether a leaving server may be sent a request because its service has no other server.
func (g *Gate) isLastResort(server *pollencatalog.Server, a announcement, sentAt, now time.Time) bool {
	notice := time.Duration(g.drainNotice.Load())
	if sentAt.After(a.leavingSince.Add(time.Duration(lastResortShare * float64(notice)))) {
		return false
	}
	table := g.config.Table()
	for _, sibling := range table.AppendEligible(nil, server.Service) {
		if sibling.Incarnation() != server.Incarnation() && g.isUsableSibling(sibling, table, now) {
			return false
		}
	}
	return true
}

// isUsableSibling reports whether a server may be sent requests and does not leave.
func (g *Gate) isUsableSibling(server *pollencatalog.Server, table *pollencatalog.Table, now time.Time) bool {
	a := g.announced(server)
	return a.leavingSince.IsZero() && !a.pausedUntil.After(now) && !g.config.Limits.NextSend(server, table, now).After(now) &&
		g.checkState(server, table, now) == None
}

// NextSend returns the earliest time at which the server's statements allow a request that its caller sent at sentAt, and the
// reason if that is later than now. The time has no meaning if the reason is Leaving, whose end is not known.
func (g *Gate) NextSend(server *pollencatalog.Server, sentAt, now time.Time) (time.Time, Reason) {
	next, reason := g.nextByAnnouncement(server, sentAt, now)
	if reason == Leaving {
		return next, reason
	}
	if allowed := g.config.Limits.NextSend(server, g.config.Table(), now); allowed.After(next) {
		next = allowed
		if reason == None {
			reason = Limited
		}
	}
	return next, reason
}

// MaySendBy reports whether the server's statements allow a request that its caller sent at sentAt now or by a time.
func (g *Gate) MaySendBy(server *pollencatalog.Server, sentAt, now, by time.Time) bool {
	next, reason := g.NextSend(server, sentAt, now)
	return reason != Leaving && (!next.After(now) || !next.After(by))
}

// Check returns why a server may not be sent a request now that its caller sent at sentAt, or None. It changes no state.
func (g *Gate) Check(server *pollencatalog.Server, sentAt, now time.Time) Reason {
	table := g.config.Table()
	switch {
	case server.Draining:
		return Draining
	case !table.Eligible(server):
		return ZoneEvacuated
	}
	if _, reason := g.NextSend(server, sentAt, now); reason != None {
		return reason
	}
	return g.checkState(server, table, now)
}

// checkState returns VersionNotAdmitted, Cold or Ejected if that applies to a server, else None.
func (g *Gate) checkState(server *pollencatalog.Server, table *pollencatalog.Table, now time.Time) Reason {
	switch {
	case g.config.Versions != nil && !g.config.Versions.Admits(server, table, now):
		return VersionNotAdmitted
	case g.config.ColdLimits.Holds(server, table, now):
		return Cold
	case g.config.Health.Ejected(server, now):
		return Ejected
	}
	return None
}

// Count returns the number of the table's servers that may not be sent a request now, by reason.
func (g *Gate) Count(now time.Time) Counts {
	var counts Counts
	g.config.Table().ForEachServer(func(server *pollencatalog.Server) { counts[g.Check(server, now, now)]++ })
	return counts
}

// Expire forgets pauses that have ended, so that later requests are not checked against them.
func (g *Gate) Expire(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for incarnation, a := range g.announcements {
		if a.leavingSince.IsZero() && !a.pausedUntil.After(now) {
			delete(g.announcements, incarnation)
		}
	}
	g.held.Store(int32(len(g.announcements)))
}

// Prune forgets servers that the table has not held for goneRetention. Servers that do not state their start are forgotten at
// once, because a new incarnation can't be told from the former one.
func (g *Gate) Prune(table *pollencatalog.Table, now time.Time) {
	if g.held.Load() == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	known := table.Incarnations()
	for incarnation, a := range g.announcements {
		switch {
		case known[incarnation]:
			a.goneSince = time.Time{}
		case incarnation.StartedAtMillis == 0, !a.goneSince.IsZero() && now.Sub(a.goneSince) >= goneRetention:
			delete(g.announcements, incarnation)
		case a.goneSince.IsZero():
			a.goneSince = now
		}
	}
	g.held.Store(int32(len(g.announcements)))
}
