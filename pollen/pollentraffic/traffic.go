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

// Doer sends one request.
type Doer interface {
	Do(ctx context.Context, request pollencaller.Request) (*pollenschema.QueryResponse, error)
}

// Config configures a Generator.
type Config struct {
	Firm *pollenfirm.Firm
	// Callers send the requests of the families, by family name.
	Callers map[string]Doer
	// Rate is the number of requests a second, over all families.
	Rate float64
	// ActionShare of the requests are actions.
	ActionShare float64
	Timeout     time.Duration
	Seed        uint64
}

// Generator sends requests at a rate that does not wait for answers.
type Generator struct {
	config Config
	random *rand.Rand
	tally  *Tally
}

// NewGenerator returns a generator that has sent nothing.
func NewGenerator(config Config) *Generator {
	return &Generator{config: config, random: rand.New(rand.NewPCG(config.Seed, 2)), tally: NewTally()}
}

// Tally returns what came back so far.
func (g *Generator) Tally() *Tally { return g.tally }

// SetTally makes later requests count in another tally.
func (g *Generator) SetTally(tally *Tally) { g.tally = tally }

// Run sends requests for a time and waits for the last answer.
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
		tally, due := g.tally, next
		group.Go(func() { g.send(ctx, tally, family, request, due) })
	}
}

// request draws the next request; families are weighted by their number of services.
func (g *Generator) request(number int) (pollenfirm.Family, pollencaller.Request) {
	families := g.config.Firm.Families
	total := 0
	for _, family := range families {
		total += weight(family)
	}
	pick := g.random.IntN(total)
	family := families[0]
	for _, f := range families {
		if pick -= weight(f); pick < 0 {
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

// send counts the time from when the request was due, so that a slow start does not hide.
func (g *Generator) send(ctx context.Context, tally *Tally, family pollenfirm.Family, request pollencaller.Request, due time.Time) {
	response, err := g.config.Callers[family.Name].Do(ctx, request)
	if ctx.Err() != nil {
		return
	}
	tally.add(&request, response, err, time.Since(due))
}

func weight(family pollenfirm.Family) int {
	return max(family.Services, family.Servers)
}
