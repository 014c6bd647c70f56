package pollenforward

import (
	"context"
	"errors"
	"time"

	"pollenline.example/pollen/pollenadmit"
	"pollenline.example/pollen/pollenbudget"
	"pollenline.example/pollen/pollencatalog"
	"pollenline.example/pollen/pollendrain"
	"pollenline.example/pollen/pollengate"
	"pollenline.example/pollen/pollenpool"
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
	// Gate decides which servers may be sent requests; if it is nil, the Forwarder has its own.
	Gate *pollengate.Gate
	// Rollouts tells which servers may get requests by their version; if it is nil, versions do not matter.
	Rollouts *pollenrollout.Router
	// Suspects decides which requests are held back because servers end under them; if it is nil, the Forwarder has its own.
	Suspects *pollensuspect.Registry
	// Refusals tells the other instances which requests this one has refused; if it is nil, they are not told.
	Refusals RefusalObserver
	// Reach tells whether this instance reaches the servers; if it is nil, it does.
	Reach *pollenreach.Tracker
	// Passer passes requests on to other instances while this one does not reach the servers; if it is nil, none are. Others
	// returns the instances that may take requests, from which Peers chooses.
	Passer Passer
	Others func() []pollencatalog.Instance
	Peers  *pollenreach.Peers
	// Drain tells whether this instance is stopping; if it is nil, it never does.
	Drain *pollendrain.Drain
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
	// senders caches how many other instances count in estimates of capacity.
	senders otherSenders
	// backlog counts the pending subrequests of started calls, active the routes that were called lately.
	backlog backlog
	active  activeRoutes
	// demand tells which teams ask for more than a fair share.
	demand  pollenadmit.Demand
	crashes crashDetector
	passing passState
}

// New returns a Forwarder whose StaleConnectionPeriod begins now.
func New(config Config) *Forwarder {
	if config.Suspects == nil {
		config.Suspects = pollensuspect.New(pollensuspect.Config{})
	}
	if config.Reach == nil {
		config.Reach = pollenreach.NewTracker()
	}
	if config.Gate == nil {
		config.Gate = pollengate.New(pollengate.Config{Table: config.Table, Limits: config.Quotas, ColdLimits: config.ColdLimiter, Health: config.Ranking})
	}
	if config.Drain == nil {
		config.Drain = pollendrain.New()
	}
	if config.Refusals == nil {
		config.Refusals = ignoredRefusals{}
	}
	return &Forwarder{config: config, started: time.Now()}
}

// hedgeBudgetShare is the share of the retry ratio that hedges may use; the rest is left for retries.
const hedgeBudgetShare = 0.5

// connectionReserve is the share of a server's connections that is kept free for joining instances.
const connectionReserve = 0.05

// Serve sends the request to the route's services and returns the reply with statistics on its subrequests.
//
// Its errors are *RefusedError, *OverQuotaError, *FailedError, *HarmfulRequestError and *CallerDisconnectedError.
func (f *Forwarder) Serve(ctx context.Context, route *pollencatalog.Route, request *Request) (*Reply, *Stats, error) {
	services := route.Shards
	if !route.Sharded() {
		services = []string{f.config.Splitter.Choose(route)}
	}
	if request.Connections == nil {
		request.Connections = &pollenpool.History{}
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
		usualLatency: f.config.Ranking.UsualLatency(route.Name),
		callerRetry:  !request.Passed && f.callerRetries.isRetry(route.Name, request.CallerTimeout, request.Received),
		subrequests:  make([]subrequest, len(services)),
		caution:      pollensuspect.Send,
		results:      make(chan result, len(services)*(route.Attempts+extraSends)),
	}
	repeated := f.callerRetries.repeatsRefused(request.Content, request.Received)
	if repeated {
		f.config.Refusals.ObserveRepeat(request.Content)
	}
	c.callerRetry = c.callerRetry || (repeated && !request.Passed)
	for i, service := range services {
		c.subrequests[i].service = service
	}
	f.active.record(route, c.schedule.PartialReplyAt.Sub(request.Received), request.Received)
	c.open = f.config.Drain.Open().Add(request.ID, request.Received)
	defer f.config.Drain.Open().Remove(c.open)
	reply, err := c.serve(ctx)
	if err != nil {
		c.recordHeldBack(err, time.Now())
	}
	var refused *RefusedError
	if errors.As(err, &refused) {
		f.callerRetries.recordRefusal(request.Content, c.schedule.End, time.Now())
		if refused.Overloaded && request.Content != (pollensuspect.Fingerprint{}) {
			f.config.Refusals.ObserveRefusal(request.Content, c.schedule.End)
		}
	}
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
	// ServedElsewhere is set if an instance that the request was passed on to has served it, with any result.
	ServedElsewhere bool
	// HeldBack counts the servers of the request's services that got no requests when it was refused, by reason.
	HeldBack pollengate.Counts
	// Evidence says which servers were not reached or not available when the request was passed on or refused for want of them,
	// and why.
	Evidence string
	// LastFailure describes the newest failed attempt.
	LastFailure string
	// LastServer is the ID of the server that got the newest request.
	LastServer string
}

// LogFields returns the names and values under which the statistics are logged.
func (s *Stats) LogFields() []any {
	fields := []any{"route", s.Route, "covered", s.Covered, "services", s.Services,
		"returned", s.CallerRetry, "waitedMs", s.QueueTime.Milliseconds(),
		"sends", s.Sends, "hedges", s.Hedges, "retries", s.Retries, "refusals", s.Refusals,
		"failures", s.Failures, "broken", s.Broken, "content", s.Content.String(), "cautious", s.Cautious, "denied", s.BudgetDenied, "lastServer", s.LastServer}
	if s.Passes > 0 {
		fields = append(fields, "passes", s.Passes, "passedTo", s.PassedTo)
	}
	if heldBack := s.HeldBack.String(); heldBack != "" {
		fields = append(fields, "heldBack", heldBack)
	}
	if s.Evidence != "" {
		fields = append(fields, "evidence", s.Evidence)
	}
	if s.LastFailure != "" {
		fields = append(fields, "lastFailure", s.LastFailure)
	}
	return fields
}
