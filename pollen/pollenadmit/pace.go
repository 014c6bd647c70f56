package pollenadmit

import "time"

// pace measures how fast waiting requests of one capacity key start.
type pace struct {
	// interval is a moving average of the time between starts while requests wait; zero before the first one.
	interval time.Duration
	// since is the time of the newest start, or when requests began to wait after it.
	since time.Time
}

// paceSampleWeight is the weight of a new interval; the last five make up two thirds.
const paceSampleWeight = 0.2

// recordWait records that requests begin to wait.
func (p *pace) recordWait(now time.Time) { p.since = now }

// recordStart records the start of a request that has waited.
func (p *pace) recordStart(now time.Time) {
	interval := now.Sub(p.since)
	if p.interval > 0 {
		interval = p.interval + time.Duration(paceSampleWeight*float64(interval-p.interval))
	}
	p.interval, p.since = interval, now
}

// expectedWait returns how long a request is expected to wait behind others.
func (p *pace) expectedWait(ahead int, now time.Time) time.Duration {
	return time.Duration(ahead) * max(p.interval, now.Sub(p.since))
}
