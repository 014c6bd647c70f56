package pollenadmit

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// demandAverageTime is the time constant of the counts of a team's requests.
	demandAverageTime = time.Second
	// fairLevelAge is how long a computed level is used.
	fairLevelAge = 50 * time.Millisecond
	// forgottenDemand is the count below which a team is forgotten, after about seven seconds without requests.
	forgottenDemand = 0.001
)

// Demand counts one instance's requests by team, and tells which teams ask for more than a fair share of what is started. The
// zero value is ready to use.
//
// Load pattern: one team sends more than the servers can run. The queue lets others go first when they wait, but those that
// arrive find the slots taken by the requests of that team that were alone in the queue before.
type Demand struct {
	mu sync.Mutex
	// arrivals and starts are decayed counts as of countedAt.
	arrivals  map[string]float64
	starts    float64
	countedAt time.Time
	// level is the newest fair level, as of levelAt.
	level   float64
	levelAt time.Time
}

// RecordArrival counts a request of a team.
func (d *Demand) RecordArrival(team string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.decay(now)
	if d.arrivals == nil {
		d.arrivals = make(map[string]float64)
	}
	d.arrivals[team]++
}

// RecordStart counts the start of a request of any team.
func (d *Demand) RecordStart(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.decay(now)
	d.starts++
}

// ExceedsShare reports whether a team asks for more than its fair share.
func (d *Demand) ExceedsShare(team string, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.decay(now)
	if now.Sub(d.levelAt) >= fairLevelAge {
		d.level, d.levelAt = fairLevel(slices.Collect(maps.Values(d.arrivals)), d.starts), now
	}
	return d.arrivals[team] > d.level
}

// decay lets the counts decay in steps of fairLevelAge. The caller must hold the mutex.
func (d *Demand) decay(now time.Time) {
	age := now.Sub(d.countedAt)
	if age < fairLevelAge {
		return
	}
	weight := math.Exp(-float64(age) / float64(demandAverageTime))
	d.starts *= weight
	for team := range d.arrivals {
		d.arrivals[team] *= weight
		if d.arrivals[team] < forgottenDemand {
			delete(d.arrivals, team)
		}
	}
	d.countedAt = now
}

// fairLevel returns the most that one of the demands is given if a capacity is shared max-min fairly; infinite if all of them
// are met.
func fairLevel(demands []float64, capacity float64) float64 {
	slices.Sort(demands)
	for i, demand := range demands {
		left := float64(len(demands) - i)
		if demand > capacity/left {
			return capacity / left
		}
		capacity -= demand
	}
	return math.Inf(1)
}
