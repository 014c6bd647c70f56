package pollentraffic

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"pollenline.example/pollen/pollencaller"
	"pollenline.example/pollen/pollenfirm"
	"pollenline.example/pollen/pollenschema"
)

// Sender sends one request and returns its response.
type Sender interface {
	Do(ctx context.Context, request pollencaller.Request) (*pollenschema.QueryResponse, error)
}

// Config holds the firm, the rate and the kinds of requests of a Generator.
type Config struct {
	Firm *pollenfirm.Firm
	// Callers holds the sender of each family's requests by the family's name.
	Callers map[string]Sender
	// Rate is the number of requests per second, over all families.
	Rate float64
	// ActionShare is the share of requests that are actions.
	ActionShare float64
	Timeout     time.Duration
	Seed        uint64
}

// Generator sends requests in an open loop: at random times, without waiting for answers.
type Generator struct {
	config Config
	random *rand.Rand
	tally  *Tally
}

// NewGenerator returns a generator with an empty tally.
func NewGenerator(config Config) *Generator {
	return &Generator{config: config, random: rand.New(rand.NewPCG(config.Seed, 2)), tally: NewTally()}
}

// Tally returns the tally in which requests are counted.
func (g *Generator) Tally() *Tally { return g.tally }

// SetTally replaces the tally for requests that are sent from now on.
func (g *Generator) SetTally(tally *Tally) { g.tally = tally }

// Run sends requests for the given duration and waits until all of them have ended.
//
// Requests that end after ctx is done are not counted.
func (g *Generator) Run(ctx context.Context, duration time.Duration) {
	var group sync.WaitGroup
	defer group.Wait()
	next := time.Now()
	end := next.Add(duration)
	for number := 0; ; number++ {
		next = next.Add(time.Duration(g.random.ExpFloat64() / g.config.Rate * float64(time.Second)))
		if next.After(end) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(next)):
		}
		family, request := g.request(number)
		tally, scheduledAt := g.tally, next
		group.Go(func() { g.send(ctx, tally, family, request, scheduledAt) })
	}
}

// request returns a random request; families are weighted by the larger of their numbers of services and servers.
func (g *Generator) request(number int) (pollenfirm.Family, pollencaller.Request) {
	families := g.config.Firm.Families
	total := 0
	for _, family := range families {
		total += weight(family)
	}
	remaining := g.random.IntN(total)
	family := families[0]
	for _, f := range families {
		if remaining -= weight(f); remaining < 0 {
			family = f
			break
		}
	}
	request := pollencaller.Request{
		Service: pollenfirm.ServiceName(family, g.random.IntN(family.Services)),
		Class:   family.Class,
		Timeout: g.config.Timeout,
	}
	if g.random.Float64() < g.config.ActionShare {
		request.Action = true
		request.Key = fmt.Sprintf("key-%d", number)
	}
	return family, request
}

// send measures the latency from the scheduled time, so that a delayed send counts as latency.
func (g *Generator) send(ctx context.Context, tally *Tally, family pollenfirm.Family, request pollencaller.Request, scheduledAt time.Time) {
	response, err := g.config.Callers[family.Name].Do(ctx, request)
	if ctx.Err() != nil {
		return
	}
	tally.add(&request, response, err, time.Since(scheduledAt))
}

// weight returns the relative frequency of requests to a family.
func weight(family pollenfirm.Family) int {
	return max(family.Services, family.Servers)
}
