package pollenadmit

import "slices"

// fairShares divides the starts of requests of one priority fairly among teams, by start-time fair queueing: the team with the
// smallest virtual start time is next, and each start adds one to it. The zero value is ready to use.
//
// Load pattern: one team sends many times its usual load. Requests in order of arrival would share the servers by what is sent,
// and leave the other teams a small part.
type fairShares struct {
	// virtual is the virtual start time of the newest start. A team that has sent nothing for a while starts from there, so that it
	// gains nothing for the time.
	virtual float64
	// next holds the next virtual start time of the teams that are ahead of virtual.
	next map[string]float64
}

// virtualStart returns the virtual start time of a team's next request.
func (f *fairShares) virtualStart(team string) float64 { return max(f.virtual, f.next[team]) }

// recordStart counts the start of a team's request.
func (f *fairShares) recordStart(team string) {
	if f.next == nil {
		f.next = make(map[string]float64)
	}
	f.virtual = f.virtualStart(team)
	f.next[team] = f.virtual + 1
	for other, next := range f.next {
		if next <= f.virtual {
			delete(f.next, other)
		}
	}
}

// startOrder returns waiting requests in the order in which they are tried. Those without a team keep their order. Requests
// of one priority take turns by the virtual start times of their teams, those of one team by arrival; of the first ones of each priority
// the one with the earliest effective arrival is next. Callers' retries are behind all others.
func startOrder(waiting []*entry, shares map[int]*fairShares) []*entry {
	if !slices.ContainsFunc(waiting, func(e *entry) bool { return e.request.Team != "" }) {
		return waiting
	}
	firsts := slices.IndexFunc(waiting, func(e *entry) bool { return e.request.CallerRetry })
	if firsts < 0 {
		firsts = len(waiting)
	}
	return append(fairOrder(waiting[:firsts], shares), fairOrder(waiting[firsts:], shares)...)
}

// fairOrder is startOrder for first tries or retries alone.
func fairOrder(waiting []*entry, shares map[int]*fairShares) []*entry {
	classes := make(map[int][]*entry)
	var priorities []int
	for _, e := range waiting {
		if _, ok := classes[e.request.Priority]; !ok {
			priorities = append(priorities, e.request.Priority)
		}
		classes[e.request.Priority] = append(classes[e.request.Priority], e)
	}
	for priority, class := range classes {
		classShares := shares[priority]
		if classShares == nil {
			classShares = &fairShares{}
		}
		// The n-th waiting request of a team is n starts later.
		waitingBefore := make(map[string]float64)
		starts := make(map[*entry]float64, len(class))
		for _, e := range class {
			starts[e] = classShares.virtualStart(e.request.Team) + waitingBefore[e.request.Team]
			waitingBefore[e.request.Team]++
		}
		slices.SortStableFunc(class, func(a, b *entry) int {
			switch {
			case starts[a] < starts[b]:
				return -1
			case starts[a] > starts[b]:
				return 1
			}
			return 0
		})
	}
	ordered := make([]*entry, 0, len(waiting))
	for len(ordered) < len(waiting) {
		best, found := 0, false
		for _, priority := range priorities {
			class := classes[priority]
			if len(class) > 0 && (!found || compareEntries(class[0], classes[best][0]) < 0) {
				best, found = priority, true
			}
		}
		ordered = append(ordered, classes[best][0])
		classes[best] = classes[best][1:]
	}
	return ordered
}
