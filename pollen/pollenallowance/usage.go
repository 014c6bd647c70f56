package pollenallowance

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Usage is the use of one team in the last window.
type Usage struct {
	Name string
	// Admitted counts requests at all instances, as far as this one knows.
	Admitted int
}

// Usage returns the use of all limited teams, ordered by name.
func (a *Allowances) Usage(now time.Time) []Usage {
	a.mu.Lock()
	defer a.mu.Unlock()
	list := make([]Usage, 0, len(a.teams))
	for _, s := range a.teams {
		list = append(list, Usage{Name: s.name, Admitted: s.uses.sum(a.config.Window, now)})
	}
	slices.SortFunc(list, func(a, b Usage) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// usePeriods is the number of periods into which a window is divided to count its requests.
const usePeriods = 10

// uses counts admissions in the periods of the last window.
type uses struct {
	periods [usePeriods]struct {
		number   int64
		admitted int
	}
}

func periodNumber(window time.Duration, now time.Time) int64 {
	return now.UnixNano() / max(1, int64(window/usePeriods))
}

func (u *uses) add(window time.Duration, n int, now time.Time) {
	number := periodNumber(window, now)
	p := &u.periods[number%usePeriods]
	if p.number != number {
		p.number, p.admitted = number, 0
	}
	p.admitted += n
}

func (u *uses) sum(window time.Duration, now time.Time) int {
	oldest := periodNumber(window, now) - usePeriods + 1
	total := 0
	for _, p := range u.periods {
		if p.number >= oldest {
			total += p.admitted
		}
	}
	return max(0, total)
}

// demandMemory is the time constant with which earlier requests lose weight in a rate.
const demandMemory = time.Second

// rate is a number of requests per second that is averaged exponentially.
type rate struct {
	perSecond float64
	asOf      time.Time
}

func (r *rate) at(now time.Time) float64 {
	if r.perSecond == 0 {
		return 0
	}
	return r.perSecond * math.Exp(-max(0, now.Sub(r.asOf).Seconds())/demandMemory.Seconds())
}

func (r *rate) add(n float64, now time.Time) {
	*r = rate{perSecond: r.at(now) + n/demandMemory.Seconds(), asOf: now}
}
