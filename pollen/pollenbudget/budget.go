package pollenbudget

import (
	"sync"
	"time"
)

// Config configures a Budget with the limits that hold for all instances together.
type Config struct {
	// Ratio is the share of a service's requests that may be sent once more.
	Ratio float64
	// Slack is the number of extra requests in a window that is allowed besides.
	Slack float64
	// Window is the span over which both are counted.
	Window time.Duration
}

// Budget is one instance's part of the extra requests to each service.
type Budget struct {
	config Config

	// begun is where steps are counted from; unlike the time of day, the time since then does not jump.
	begun time.Time

	mu       sync.Mutex
	services map[string]*account
}

const (
	// ratioMargin keeps below the ratio, since the windows of instances do not begin together.
	ratioMargin = 0.9
	// slackMargin leaves half of the slack for instances that restart within a window and have lost their count.
	slackMargin = 0.5
	// steps is the number of counters that a window is divided into.
	steps = 20
)

// New returns a Budget without any requests counted.
func New(config Config) *Budget {
	return &Budget{config: config, begun: time.Now(), services: make(map[string]*account)}
}

// Configure replaces the limits; requests that were counted stay counted unless the window changes.
func (b *Budget) Configure(config Config) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if config.Window != b.config.Window {
		b.services = make(map[string]*account)
	}
	b.config = config
}

// Ratio returns the share of a service's requests that may be sent once more.
func (b *Budget) Ratio() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.config.Ratio
}

// Count counts the first request for a service.
func (b *Budget) Count(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(service, now)
	a.first[a.at]++
}

// Take reports whether one more extra request may be sent to a service, and counts it if so.
//
// Instances is the number of live instances that share the budget.
func (b *Budget) Take(service string, now time.Time, instances int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(service, now)
	allowed := ratioMargin*b.config.Ratio*a.sum(&a.first) + slackMargin*b.config.Slack/float64(max(instances, 1))
	if a.sum(&a.extra)+1 > allowed {
		return false
	}
	a.extra[a.at]++
	return true
}

func (b *Budget) account(service string, now time.Time) *account {
	step := int64(now.Sub(b.begun) / (b.config.Window / steps))
	a, ok := b.services[service]
	if !ok {
		a = &account{step: step}
		b.services[service] = a
	}
	a.advance(step)
	return a
}

// account counts requests in a ring of steps+1 counters, one more than the window, so that no span is missed.
type account struct {
	first [steps + 1]float64
	extra [steps + 1]float64
	at    int
	step  int64
}

func (a *account) advance(step int64) {
	for range min(step-a.step, steps+1) {
		a.at = (a.at + 1) % len(a.first)
		a.first[a.at], a.extra[a.at] = 0, 0
	}
	a.step = max(a.step, step)
}

func (a *account) sum(counts *[steps + 1]float64) float64 {
	total := 0.0
	for _, count := range counts {
		total += count
	}
	return total
}
