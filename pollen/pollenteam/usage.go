package pollenteam

import (
	"sync"
	"time"
)

// Status describes a team to operators. Its fields are encoded as JSON under their Go names.
type Status struct {
	Name string
	// Priority is that of the team, null if the priority of the route counts.
	Priority  *int
	PerSecond float64
	Burst     float64
	// Used is the number of requests of the team that this instance has served in the last WindowSeconds.
	Used int
	// UsedByAll is the number of requests of a team with a limit that all instances have admitted in that time, as far as this one
	// knows.
	UsedByAll     int
	WindowSeconds float64
}

const (
	// slotCount is the number of parts into which the window is divided; the oldest part is dropped as a whole.
	slotCount = 5
	// MaxTeams bounds the number of teams that metrics tell apart, as each has a series for every status and bucket.
	MaxTeams = 100
	// OtherTeam is the label of all teams beyond MaxTeams.
	OtherTeam = "other"
)

// Usage counts the requests of each team within a sliding window.
type Usage struct {
	slot time.Duration
	mu   sync.Mutex
	// teams holds the counts by name, of at most maxCounted teams.
	teams map[string]*counts
}

// maxCounted bounds the number of teams with counts; beyond it, those without a request in the window are dropped, and then new
// ones are not counted.
const maxCounted = 1024

// counts holds the requests of one team in the slots up to the one with the number last.
type counts struct {
	last    int64
	perSlot [slotCount]int
}

// NewUsage returns a Usage with a window of the given length.
func NewUsage(window time.Duration) *Usage {
	return &Usage{slot: window / slotCount, teams: make(map[string]*counts)}
}

// Window returns the length of the window.
func (u *Usage) Window() time.Duration { return u.slot * slotCount }

// Record counts one request of a team.
func (u *Usage) Record(team string, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	slot := u.slotOf(now)
	c, ok := u.teams[team]
	if !ok {
		if len(u.teams) >= maxCounted {
			u.prune(slot)
		}
		if len(u.teams) >= maxCounted {
			return
		}
		c = &counts{last: slot}
		u.teams[team] = c
	}
	c.advance(slot)
	c.perSlot[c.last%slotCount]++
}

// Used returns the number of requests of a team in the window that ends now.
func (u *Usage) Used(team string, now time.Time) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	c, ok := u.teams[team]
	if !ok {
		return 0
	}
	c.advance(u.slotOf(now))
	return c.sum()
}

// prune drops the teams without a request in the window.
func (u *Usage) prune(slot int64) {
	for name, c := range u.teams {
		if c.advance(slot); c.sum() == 0 {
			delete(u.teams, name)
		}
	}
}

func (u *Usage) slotOf(now time.Time) int64 { return now.UnixNano() / int64(u.slot) }

// advance empties the slots between the last one and slot. A clock that is set back does not change the counts.
func (c *counts) advance(slot int64) {
	for n := max(c.last+1, slot-slotCount+1); n <= slot; n++ {
		c.perSlot[n%slotCount] = 0
	}
	c.last = max(c.last, slot)
}

func (c *counts) sum() int {
	total := 0
	for _, n := range c.perSlot {
		total += n
	}
	return total
}

// Labels bounds the names of teams in metrics. Its zero value is ready to use.
type Labels struct {
	mu    sync.Mutex
	names map[string]bool
}

// Label returns the name of a team if it is among the first MaxTeams that were asked for, else OtherTeam.
func (l *Labels) Label(team string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.names[team] {
		return team
	}
	if len(l.names) >= MaxTeams {
		return OtherTeam
	}
	if l.names == nil {
		l.names = make(map[string]bool)
	}
	l.names[team] = true
	return team
}
