package pollenforward

import (
	"context"
	"time"

	"pollenline.example/pollen/pollenadmit"
	"pollenline.example/pollen/pollenbudget"
	"pollenline.example/pollen/pollencatalog"
	"pollenline.example/pollen/pollenramp"
	"pollenline.example/pollen/pollenrank"
)

// Config configures a Forwarder.
type Config struct {
	Exchanger Exchanger
	Ranking   *pollenrank.Ranking
	Budget    *pollenbudget.Budget
	Ramp      *pollenramp.Ramp
	// Table returns the table in force.
	Table func() *pollencatalog.Table
	// CallerTrip is the time that a request and its answer spend on the way between caller and instance.
	CallerTrip time.Duration
	// Linger is how long requests that lost against another are left to end, so that their connections are kept.
	Linger time.Duration
	// Splitter chooses a service for each request of a route that is shared between services.
	Splitter *Splitter
	// Settle is the time after the start during which servers may count connections of a former incarnation.
	Settle time.Duration
}

// Forwarder serves requests through backend servers.
type Forwarder struct {
	config  Config
	started time.Time
	line    pollenadmit.Line
	// patience tells callers that have come back.
	patience patienceTracker
}

// New returns a Forwarder.
func New(config Config) *Forwarder { return &Forwarder{config: config, started: time.Now()} }

// hedgeShare is the part of the retry ratio that hedges may use up; the rest is left for retries.
const hedgeShare = 0.5

// connectionReserve is the share of a server's connections that is left to instances that join.
const connectionReserve = 0.05

// Serve sends the request to the route's services and returns the reply with an account of what was done.
//
// Its errors are *RefusedError, *FailedError and *GoneError.
func (f *Forwarder) Serve(ctx context.Context, route *pollencatalog.Route, request *Request) (*Reply, *Account, error) {
	services := route.Shards
	if !route.Sharded() {
		services = []string{f.config.Splitter.Choose(route)}
	}
	c := &call{
		forwarder: f,
		route:     route,
		request:   request,
		account:   &Account{Route: route.Name, Services: len(services)},
		schedule: NewSchedule(ScheduleConfig{
			Route: route, Received: request.Received, Patience: request.Patience,
			CallerTrip: f.config.CallerTrip, Typical: f.config.Ranking.Typical(route.Name, 1-hedgeShare*f.config.Budget.Ratio()),
		}),
		returned: f.patience.returned(route.Name, request.Patience, request.Received),
		legs:     make([]leg, len(services)),
		results:  make(chan result, len(services)*(route.Attempts+spareSends)),
	}
	for i, service := range services {
		c.legs[i].service = service
	}
	reply, err := c.run(ctx)
	return reply, c.account, err
}

// connections returns the number of connections to one server of a service that this instance may hold.
//
// Load pattern: all instances restart at once, and the servers still count the connections of their former
// incarnations. Until those are given up, each instance takes half of its share.
func (f *Forwarder) connections(table *pollencatalog.Table, service string, now time.Time) int {
	configuration := table.Configuration()
	if configuration == nil {
		return 1
	}
	part := 1 - connectionReserve
	if now.Sub(f.started) < f.config.Settle {
		part /= 2
	}
	return max(1, int(float64(configuration.Services[service].Connections)*part)/table.SharerCount())
}

// Account says what was done for one request, for its log line.
type Account struct {
	Route    string
	Services int
	// Covered is the number of services that answered in time.
	Covered int
	// Sends counts requests to servers; Hedges and Retries are among them.
	Sends, Hedges, Retries int
	// Returned is set if the caller was sent away before, and Waited is how long the request waited for room.
	Returned bool
	Waited   time.Duration
	// Refusals counts servers that did not run the request, Failures those without a usable answer.
	Refusals, Failures int
	// Denied counts retries and hedges that the budget did not allow.
	Denied int
	// LastFailure is the newest failure of a server.
	LastFailure string
	// LastServer is the server that was asked last.
	LastServer string
}
