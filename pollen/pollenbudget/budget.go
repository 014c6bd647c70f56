package pollenbudget

import (
	"sync"
	"time"
)

// Config holds the limits of extra requests to each service by all instances together.
type Config struct {
	// Ratio is the number of extra requests allowed per first request.
	Ratio float64
	// Slack is the number of extra requests allowed per window regardless of the number of first requests.
	Slack float64
	// Window is the period over which requests are counted.
	Window time.Duration
}

// Budget counts one instance's requests to each service and grants its share of extra requests.
type Budget struct {
	config Config

	// start is when step 0 began; the time since then is monotonic, unlike the wall clock.
	start time.Time

	mu       sync.Mutex
	services map[string]*requestCounts
}

const (
	// usableRatioShare is the share of the ratio that each instance uses: less than all of it, because the windows of
	// instances are not aligned.
	usableRatioShare = 0.9
	// usableSlackShare is the share of the slack that the instances use. The rest is reserved for instances that restart
	// within a window and lose their counts.
	usableSlackShare = 0.5
	// windowSteps is the number of steps, each with its own counter, into which a window is divided.
	windowSteps = 20
)

// New returns a Budget with no requests counted.
func New(config Config) *Budget {
	return &Budget{config: config, start: time.Now(), services: make(map[string]*requestCounts)}
}

// Configure replaces the limits. Counts are kept unless the window changes.
func (b *Budget) Configure(config Config) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if config.Window != b.config.Window {
		b.services = make(map[string]*requestCounts)
	}
	b.config = config
}

// Ratio returns the number of extra requests allowed per first request.
func (b *Budget) Ratio() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.config.Ratio
}

// CountRequest counts a first request to a service.
func (b *Budget) CountRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := b.counts(service, now)
	counts.firstRequests[counts.current]++
}

// TryAcquire reports whether one more extra request may be sent to a service, and counts it if so.
//
// The slack is divided evenly among the instances that send to the service.
func (b *Budget) TryAcquire(service string, now time.Time, instances int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := b.counts(service, now)
	allowed := usableRatioShare*b.config.Ratio*counts.sum(&counts.firstRequests) + usableSlackShare*b.config.Slack/float64(max(instances, 1))
	if counts.sum(&counts.extraRequests)+1 > allowed {
		return false
	}
	counts.extraRequests[counts.current]++
	return true
}

// counts returns the counts of a service, advanced to now. The caller must hold the mutex.
func (b *Budget) counts(service string, now time.Time) *requestCounts {
	step := int64(now.Sub(b.start) / (b.config.Window / windowSteps))
	counts, ok := b.services[service]
	if !ok {
		counts = &requestCounts{step: step}
		b.services[service] = counts
	}
	counts.advance(step)
	return counts
}

// requestCounts counts requests in rings of windowSteps+1 counters, one for each step. Since the current step is not
// over yet, windowSteps counters would cover less than a window.
type requestCounts struct {
	firstRequests [windowSteps + 1]float64
	extraRequests [windowSteps + 1]float64
	// current is the index of the counters of the newest step; step is that step's number.
	current int
	step    int64
}

// advance clears the counters of the steps since the newest one, and makes step the newest.
func (c *requestCounts) advance(step int64) {
	for range min(step-c.step, windowSteps+1) {
		c.current = (c.current + 1) % len(c.firstRequests)
		c.firstRequests[c.current], c.extraRequests[c.current] = 0, 0
	}
	c.step = max(c.step, step)
}

func (c *requestCounts) sum(counters *[windowSteps + 1]float64) float64 {
	total := 0.0
	for _, count := range counters {
		total += count
	}
	return total
}
