package pollenlimit

import (
	"slices"
	"time"
)

// ramp decides from answer times when the limit of a server may increase.
//
// With a warm baseline, it waits until answer times are near the baseline. Without one, it waits until window medians
// no longer fall over steadyInterval; those of a server that is still warming up fall.
type ramp struct {
	// baseline is the median answer time of the server when warm, a moving average until then, or zero at first.
	baseline time.Duration
	// hasWarmBaseline is set once baseline is that of the warm server; it stays set after a cold start.
	hasWarmBaseline bool
	// window holds the answer times since windowStart.
	window      []time.Duration
	windowStart time.Time
	// pastMedians holds the medians of closed windows until the server is warm, oldest first.
	pastMedians []windowMedian
	// recent is a ring buffer of the latest request ages, for hasSlowBurst.
	recent     [burstWindow]time.Duration
	nextRecent int
}

// windowMedian is the median answer time of a window and the time at which it closed.
type windowMedian struct {
	at     time.Time
	median time.Duration
}

const (
	// A window closes after at least minWindowSamples answers and minWindowDuration.
	minWindowSamples  = 8
	minWindowDuration = 200 * time.Millisecond
	// maxWindowSamples bounds a window that is not closed because the limit of a warm server no longer increases.
	maxWindowSamples = 256
	// A server is steady if its median is minSteadyPercent to maxWarmPercent of the median steadyInterval earlier.
	steadyInterval   = 2 * time.Second
	minSteadyPercent = 95
	// maxWarmPercent of the baseline is the largest median at which the limit of a warm server may increase.
	maxWarmPercent = 125
	// A slow burst is at least minSlowInBurst of the latest burstWindow requests above slowFactor times the baseline.
	burstWindow    = 8
	minSlowInBurst = 6
	slowFactor     = 4
)

// add records one answer time.
func (r *ramp) add(latency time.Duration) {
	if len(r.window) >= maxWindowSamples {
		r.window = r.window[:0]
	}
	if len(r.window) == 0 {
		r.windowStart = time.Now()
	}
	r.window = append(r.window, latency)
	r.addRecent(latency)
	switch {
	case r.baseline == 0:
		r.baseline = latency
	case !r.hasWarmBaseline:
		r.baseline += (latency - r.baseline) / 8
	}
}

// addRecent records the age at which a request was answered or cancelled, for hasSlowBurst.
func (r *ramp) addRecent(age time.Duration) {
	r.recent[r.nextRecent] = age
	r.nextRecent = (r.nextRecent + 1) % burstWindow
}

// canIncrease closes a full window and reports whether its median allows a higher limit.
func (r *ramp) canIncrease(now time.Time) bool {
	if len(r.window) < minWindowSamples || now.Sub(r.windowStart) < minWindowDuration {
		return false
	}
	current := median(r.window)
	r.window = r.window[:0]
	if r.hasWarmBaseline {
		r.baseline = min(r.baseline, current)
		return current*100 <= r.baseline*maxWarmPercent
	}
	steady := r.isSteady(now, current)
	r.pastMedians = append(r.pastMedians, windowMedian{at: now, median: current})
	if steady {
		r.setBaseline(current)
	}
	return steady
}

// setBaseline sets the baseline to the median of the warm server.
func (r *ramp) setBaseline(baseline time.Duration) {
	r.baseline = baseline
	r.hasWarmBaseline = true
	r.pastMedians = nil
}

// isSteady reports whether a median is near the newest one that is at least steadyInterval old.
func (r *ramp) isSteady(now time.Time, current time.Duration) bool {
	var reference time.Duration
	for len(r.pastMedians) > 0 && now.Sub(r.pastMedians[0].at) >= steadyInterval {
		reference = r.pastMedians[0].median
		if len(r.pastMedians) == 1 || now.Sub(r.pastMedians[1].at) < steadyInterval {
			break
		}
		r.pastMedians = r.pastMedians[1:]
	}
	return reference > 0 && current*100 >= reference*minSteadyPercent && current*100 <= reference*maxWarmPercent
}

// hasSlowBurst reports whether most of the latest requests took far longer than the warm baseline.
func (r *ramp) hasSlowBurst() bool {
	if !r.hasWarmBaseline {
		return false
	}
	slow := 0
	for _, age := range r.recent {
		if age > slowFactor*r.baseline {
			slow++
		}
	}
	return slow >= minSlowInBurst
}

// reset removes all samples after a cold start and keeps the baseline.
func (r *ramp) reset() {
	r.window = r.window[:0]
	r.pastMedians = nil
	r.recent = [burstWindow]time.Duration{}
}

// median returns the upper median of a non-empty list.
func median(values []time.Duration) time.Duration {
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[len(sorted)/2]
}
