package pollenlimit

import (
	"slices"
	"time"
)

// ramp decides from answer times when a server bears more.
//
// With a warm baseline it waits until answers are near it. Without one it waits until the medians of closed
// windows no longer fall over steadyTime, which a server that is still warming up does not show.
type ramp struct {
	// baseline is the median answer time of the server when warm, or the newest known.
	baseline time.Duration
	warm     bool
	window   []time.Duration
	opened   time.Time
	closed   []windowMedian
	recent   [burstWindow]time.Duration
	next     int
}

// windowMedian is the median of one closed window.
type windowMedian struct {
	at     time.Time
	median time.Duration
}

const (
	// windowSamples answers and windowTime make a window.
	windowSamples = 8
	windowTime    = 200 * time.Millisecond
	// maximumWindow bounds a window that nobody closes because the server is warm.
	maximumWindow = 256
	// steadyPercent of the median that was steadyTime ago is what a settled server still needs.
	steadyTime    = 2 * time.Second
	steadyPercent = 95
	// nearPercent of the warm baseline counts as warm.
	nearPercent = 125
	burstWindow = 8
	burstSlow   = 6
	burstFactor = 4
)

// add takes in one answer time.
func (r *ramp) add(latency time.Duration) {
	if len(r.window) >= maximumWindow {
		r.window = r.window[:0]
	}
	if len(r.window) == 0 {
		r.opened = time.Now()
	}
	r.window = append(r.window, latency)
	r.note(latency)
	switch {
	case r.baseline == 0:
		r.baseline = latency
	case !r.warm:
		r.baseline += (latency - r.baseline) / 8
	}
}

// note puts the age of a request, answered or given up, among the newest ones that slowBurst looks at.
func (r *ramp) note(age time.Duration) {
	r.recent[r.next] = age
	r.next = (r.next + 1) % burstWindow
}

// settled closes a full window and reports whether answer times no longer fall.
func (r *ramp) settled(now time.Time) bool {
	if len(r.window) < windowSamples || now.Sub(r.opened) < windowTime {
		return false
	}
	current := median(r.window)
	r.window = r.window[:0]
	if r.warm {
		r.baseline = min(r.baseline, current)
		return current*100 <= r.baseline*nearPercent
	}
	steady := r.steady(now, current)
	r.closed = append(r.closed, windowMedian{at: now, median: current})
	if steady {
		r.learn(current)
	}
	return steady
}

// learn takes a median as that of the warm server.
func (r *ramp) learn(baseline time.Duration) {
	r.baseline = baseline
	r.warm = true
	r.closed = nil
}

// steady compares a median with the newest one that is at least steadyTime old.
func (r *ramp) steady(now time.Time, current time.Duration) bool {
	var reference time.Duration
	for len(r.closed) > 0 && now.Sub(r.closed[0].at) >= steadyTime {
		reference = r.closed[0].median
		if len(r.closed) == 1 || now.Sub(r.closed[1].at) < steadyTime {
			break
		}
		r.closed = r.closed[1:]
	}
	return reference > 0 && current*100 >= reference*steadyPercent && current*100 <= reference*nearPercent
}

// slowBurst reports whether most of the newest answers are far above the warm baseline.
func (r *ramp) slowBurst() bool {
	if !r.warm {
		return false
	}
	slow := 0
	for _, latency := range r.recent {
		if latency > burstFactor*r.baseline {
			slow++
		}
	}
	return slow >= burstSlow
}

// restart forgets the windows, as after a cold start; the warm baseline is kept.
func (r *ramp) restart() {
	r.window = r.window[:0]
	r.closed = nil
	r.recent = [burstWindow]time.Duration{}
}

func median(values []time.Duration) time.Duration {
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[len(sorted)/2]
}
