package pollenforward

import (
	"context"
	"time"

	"pollenline.example/pollen/pollenadmit"
	"pollenline.example/pollen/pollenbudget"
	"pollenline.example/pollen/pollencatalog"
	"pollenline.example/pollen/pollenquota"
	"pollenline.example/pollen/pollenramp"
	"pollenline.example/pollen/pollenrank"
	"pollenline.example/pollen/pollenreach"
	"pollenline.example/pollen/pollenrollout"
	"pollenline.example/pollen/pollensuspect"
)

// Config holds a Forwarder's dependencies and time limits.
type Config struct {
	Exchanger   Exchanger
	Ranking     *pollenrank.Ranking
	Budget      *pollenbudget.Budget
	ColdLimiter *pollenramp.ColdLimiter
	Quotas      *pollenquota.Quotas
	// Rollouts tells which servers may get requests by their version; if it is nil, versions do not matter.
	Rollouts *pollenrollout.Router
	// Suspects decides which requests are held back because servers end under them; if it is nil, the Forwarder has its own.
	Suspects *pollensuspect.Registry
	// Reach tells whether this instance reaches the servers; if it is nil, it does.
	Reach *pollenreach.Tracker
	// Passer passes requests on to other instances while this one does not reach the servers; if it is nil, none are. Others
	// returns the instances that may take requests, from which Peers chooses.
	Passer Passer
	Others func() []pollencatalog.Instance
	Peers  *pollenreach.Peers
	// Table returns the current table.
	Table func() *pollencatalog.Table
	// CallerRoundTrip is the network round-trip time between caller and instance.
	CallerRoundTrip time.Duration
	// LateAnswerTimeout is how long answers are awaited after the reply, so that their connections can be reused.
	LateAnswerTimeout time.Duration
	// Splitter chooses the service of each request on an unsharded route.
	Splitter *Splitter
	// StaleConnectionPeriod is how long after the start servers may still count connections of a former incarnation.
	StaleConnectionPeriod time.Duration
}

// Forwarder answers caller requests with the answers of backend servers.
type Forwarder struct {
	config  Config
	started time.Time
	queue   pollenadmit.Queue
	// callerRetries detects callers that repeat a refused request.
	callerRetries callerRetryDetector
	crashes       crashDetector
	passing       passState
}

// New returns a Forwarder whose StaleConnectionPeriod begins now.
func New(config Config) *Forwarder {
	if config.Suspects == nil {
		config.Suspects = pollensuspect.New(pollensuspect.Config{})
	}
	if config.Reach == nil {
		config.Reach = pollenreach.NewTracker()
	}
	return &Forwarder{config: config, started: time.Now()}
}

// hedgeBudgetShare is the share of the retry ratio that hedges may use; the rest is left for retries.
const hedgeBudgetShare = 0.5

// connectionReserve is the share of a server's connections that is kept free for joining instances.
const connectionReserve = 0.05

// Serve sends the request to the route's services and returns the reply with statistics on its subrequests.
//
// Its errors are *RefusedError, *FailedError, *HarmfulRequestError and *CallerDisconnectedError.
func (f *Forwarder) Serve(ctx context.Context, route *pollencatalog.Route, request *Request) (*Reply, *Stats, error) {
	services := route.Shards
	if !route.Sharded() {
		services = []string{f.config.Splitter.Choose(route)}
	}
	c := &call{
		forwarder: f,
		route:     route,
		request:   request,
		stats:     &Stats{Route: route.Name, Services: len(services), Content: request.Content},
		schedule: NewSchedule(ScheduleConfig{
			Route: route, Received: request.Received, CallerTimeout: request.CallerTimeout,
			CallerRoundTrip: f.config.CallerRoundTrip, LatencyQuantile: f.config.Ranking.LatencyQuantile(route.Name, 1-hedgeBudgetShare*f.config.Budget.Ratio()),
		}),
		callerRetry: !request.Passed && f.callerRetries.isRetry(route.Name, request.CallerTimeout, request.Received),
		subrequests: make([]subrequest, len(services)),
		caution:     pollensuspect.Send,
		results:     make(chan result, len(services)*(route.Attempts+extraSends)),
	}
	for i, service := range services {
		c.subrequests[i].service = service
	}
	reply, err := c.serve(ctx)
	return reply, c.stats, err
}

// connectionLimit returns the number of connections that this instance may hold to one server of a service.
//
// Load pattern: all instances restart at once, and the servers still count the connections of their former
// incarnations. Until the servers close those, each instance uses half of its share.
func (f *Forwarder) connectionLimit(table *pollencatalog.Table, service string, now time.Time) int {
	configuration := table.Configuration()
	if configuration == nil {
		return 1
	}
	usableShare := 1 - connectionReserve
	if now.Sub(f.started) < f.config.StaleConnectionPeriod {
		usableShare /= 2
	}
	return max(1, int(float64(configuration.Services[service].Connections)*usableShare)/table.SharerCount())
}

// Stats holds what is logged about one caller request.
type Stats struct {
	Route string
	// Services is the number of services that the request needs.
	Services int
	// Covered is the number of services that answered in time.
	Covered int
	// Sends counts requests to servers, including Hedges and Retries.
	Sends, Hedges, Retries int
	// CallerRetry is set if the caller repeats a refused request.
	CallerRetry bool
	// Cautious is set if there was evidence against the request, or a reason to send it to one server first.
	Cautious bool
	// QueueTime is how long the request waited for capacity.
	QueueTime time.Duration
	// Refusals counts attempts that no server ran, Failures those that may have run without a usable answer.
	Refusals, Failures int
	// Unconnected counts the refusals for want of a connection.
	Unconnected int
	// Broken counts the failures whose connection was closed or reset.
	Broken int
	// Content identifies requests with the same content.
	Content pollensuspect.Fingerprint
	// BudgetDenied counts retries and hedges that the budget did not allow.
	BudgetDenied int
	// Passes counts the instances that the request was passed on to, PassedTo is the last of them.
	Passes   int
	PassedTo string
	// LastFailure describes the newest failed attempt.
	LastFailure string
	// LastServer is the ID of the server that got the newest request.
	LastServer string
}
