package pollenrelay

import "time"

// storePace decides when a standby whose watchers have lost the store may call the store itself.
//
// Load pattern: the store fails for all instances at once, and hundreds stand by. Each of them would ask it again and again beside
// the watchers, which notice its return first; those on standby need it only where the watchers alone have lost it.
type storePace struct {
	// next is when the store may be called; zero while the last call was answered.
	next time.Time
}

// allow reports whether the store may be called now. The first call after the watchers were lost, and each one after a failed
// call, waits for a random part of the interval; random is between 0 and 1.
func (p *storePace) allow(now time.Time, interval time.Duration, random float64) bool {
	if p.next.IsZero() {
		p.next = now.Add(time.Duration(float64(interval) * random))
	}
	return !now.Before(p.next)
}

// record records the result of a call: while the store answers, it may be called without a pause.
func (p *storePace) record(answered bool, now time.Time, interval time.Duration, random float64) {
	if answered {
		p.next = now
		return
	}
	p.next = now.Add(time.Duration(float64(interval) * (1 + random) / 2))
}

// reset forgets the outage once a watcher has answered.
func (p *storePace) reset() { p.next = time.Time{} }
