package pollenallowance

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"pollenline.example/pollen/pollencatalog"
)

// Config holds the parameters of Allowances.
type Config struct {
	// InstanceName is the name of this instance, Incarnation differs between two of its runs.
	InstanceName string
	Incarnation  string
	// Start is the start of this run.
	Start time.Time
	// Within any Window, a team's admissions over all instances stay within (rate x Window + burst) x (1 + Overshoot) + Slack.
	Window    time.Duration
	Overshoot float64
	Slack     float64
	// Observer receives each decision; it may be nil.
	Observer Observer
}

// Observer receives the decisions about requests of limited teams, for the metrics.
type Observer interface {
	ObserveQuota(team string, admitted bool)
}

const (
	// ReportInterval is how often instances exchange usage reports while limited teams send.
	ReportInterval = 250 * time.Millisecond
	// UrgentInterval is the least time between two reports to the same instance. Reports are sent before the ReportInterval has
	// passed if half of what may be admitted without a report is used up.
	UrgentInterval = 50 * time.Millisecond
	// silenceTimeout is the time without a report after which another instance is assumed to use an equal share.
	silenceTimeout = time.Second
	// isolationTimeout is how long an instance without any contact uses its whole equal share. Its registration's lease has
	// expired by then, and the others divide the rate without it; half of the share fits the overshoot and slack.
	isolationTimeout = 3 * time.Second
	// activePeriod is how long reports go on after the last request of a limited team.
	activePeriod = 30 * time.Second
	// usableExcess is the part of overshoot and slack that is planned with. The rest covers admissions of instances that
	// end before they have reported them.
	usableExcess = 0.85
	// graceShare is the part of overshoot and slack by which the bucket is larger than the burst, so that admissions which are charged
	// late do not cause refusals within rate and burst.
	graceShare = 0.25
	// expectedLag is how long an admission is usually unknown to the others: a report interval, its way and a margin.
	expectedLag = 350 * time.Millisecond
	// calmDemand is the demand, as a multiple of the rate, up to which an instance may use calmPart of what is left without a report. The
	// demand bounds what all instances admit meanwhile, so the parts need not add up to one, and callers that have just moved to another
	// instance are not refused there.
	calmDemand = 1.5
	calmPart   = 0.5
	// turnPeriod is how long an instance may use its turn, if there are more instances than may admit a request unreported.
	turnPeriod = 500 * time.Millisecond
	// shortestRetryAfter and longestRetryAfter bound how long callers are told to wait.
	shortestRetryAfter = 50 * time.Millisecond
	longestRetryAfter  = 30 * time.Second
)

// Allowances holds what is known of the use of all limited teams over all instances.
type Allowances struct {
	config Config
	// changed receives a value when reports should be sent early.
	changed chan struct{}
	// lastDemand is the Unix time in nanoseconds of the last request of a limited team at any instance.
	lastDemand atomic.Int64

	mu    sync.Mutex
	teams map[string]*team
	// peers holds the other registered instances, and others that sent reports, by name.
	peers map[string]*peer
	// registered is the number of registered peers, live that of the peers that reported recently.
	registered, live int
	// isolatedSince is when the last live peer fell silent; it has no meaning while there are live peers.
	isolatedSince time.Time
	// reviewAt is when the next live peer may have become silent.
	reviewAt time.Time
	// seenAt is the last call. After a long gap, at gapAt, the instance adopts the tokens that its peers know of with their next reports:
	// it was frozen or idle, and can't tell when the admissions that they report were refilled.
	seenAt, gapAt time.Time
	// sequence is increased by each change of this instance's counts.
	sequence uint64
	// urgent is the sequence up to which peers should get the counts at once.
	urgent uint64
}

// team is the state of one limited team.
type team struct {
	name                 string
	perSecond, burst     float64
	createdAt, settledAt time.Time
	// level is the number of tokens after all known admissions; it is negative after simultaneous admissions.
	level float64
	// full is the level of a bucket of which nothing is withheld for silent peers. When these are heard again, the level rises to it at
	// most: admissions since then were charged, and tokens beyond the bucket's capacity must not make up for them.
	full float64
	// admitted is the number of this instance's admissions that were not refunded, changedAt the sequence of its last change.
	admitted  int64
	changedAt uint64
	demand    rate
	uses      uses
	// overSince is when a request was refused first, zero while the team is within its limit; refusedAt is the last refusal.
	overSince, refusedAt time.Time
	refused              int
}

// New returns Allowances without teams and peers.
func New(config Config) *Allowances {
	return &Allowances{
		config: config, changed: make(chan struct{}, 1), teams: make(map[string]*team), peers: make(map[string]*peer),
		isolatedSince: config.Start, seenAt: config.Start,
	}
}

// TryAcquire admits one request of a team, or returns how long its caller should wait.
func (a *Allowances) TryAcquire(t *pollencatalog.Team, now time.Time) (retryAfter time.Duration, ok bool) {
	if !limited(t) {
		return 0, true
	}
	a.noteDemand(now)
	a.mu.Lock()
	s := a.team(t, now)
	a.review(now)
	a.settle(s, now)
	s.demand.add(1, now)
	retryAfter, ok = a.tryAcquire(s, now)
	if ok {
		s.uses.add(a.config.Window, 1, now)
	}
	a.mu.Unlock()
	if a.config.Observer != nil {
		a.config.Observer.ObserveQuota(t.Name, ok)
	}
	return retryAfter, ok
}

// tryAcquire implements TryAcquire for a settled team. The caller must hold the mutex.
func (a *Allowances) tryAcquire(s *team, now time.Time) (time.Duration, bool) {
	unreported := a.unreported(s)
	most := a.mostUnreported(s, unreported, now)
	a.sequence++
	s.changedAt = a.sequence
	if a.registered > 0 && (a.live == 0 || 2*(unreported+1) >= most) {
		a.urgent = a.sequence
		a.wake()
	}
	enough := s.level >= 1 && unreported+1 <= most
	if a.live == 0 {
		// No one could be told, so the part of the excess that is meant for admissions without a report is used by the bucket.
		_, excess := a.excess(s)
		enough = s.level+excess*a.share(now) >= 1
	}
	if enough {
		a.add(s, -1)
		s.admitted++
		a.noteWithin(s, now)
		return 0, true
	}
	a.noteRefusal(s, now)
	wait := ReportInterval
	if s.level < 1 {
		// The time is capped before the conversion, which a very low rate would overflow.
		wait = time.Duration(min((1-s.level)/(s.perSecond*a.share(now)), longestRetryAfter.Seconds()) * float64(time.Second))
	}
	return max(wait, shortestRetryAfter), false
}

// Refund returns what TryAcquire took for a request that has not run and will not run.
func (a *Allowances) Refund(t *pollencatalog.Team, now time.Time) {
	if !limited(t) {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	s, ok := a.teams[t.Name]
	if !ok {
		return
	}
	a.review(now)
	a.settle(s, now)
	a.add(s, 1)
	s.admitted--
	a.sequence++
	s.changedAt = a.sequence
	s.uses.add(a.config.Window, -1, now)
}

// SetTable adopts the teams and the registered instances of a table.
func (a *Allowances) SetTable(table *pollencatalog.Table, now time.Time) {
	if table.Configuration() == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.review(now)
	for _, s := range a.teams {
		a.settle(s, now)
	}
	a.setPeers(table.Instances(), now)
	limits := make(map[string]bool, len(a.teams))
	for _, t := range table.Configuration().Teams {
		if limited(t) {
			a.team(t, now)
			limits[t.Name] = true
		}
	}
	for name := range a.teams {
		if !limits[name] {
			delete(a.teams, name)
			for _, p := range a.peers {
				delete(p.uses, name)
			}
		}
	}
}

func limited(t *pollencatalog.Team) bool { return t != nil && t.PerSecond > 0 }

// team returns a team's state under its present limit. The caller must hold the mutex.
func (a *Allowances) team(t *pollencatalog.Team, now time.Time) *team {
	s, ok := a.teams[t.Name]
	if !ok {
		s = &team{name: t.Name, perSecond: t.PerSecond, burst: t.Burst, createdAt: now, settledAt: now}
		s.level, s.full = a.capacity(s), a.bucket(s)
		a.teams[t.Name] = s
		for _, p := range a.peers {
			if p.silent && p.registered {
				u := p.use(s.name)
				u.withheld, u.withheldSince = max(0, a.bucket(s)/float64(a.registered+1)), now
			}
		}
	}
	if s.perSecond != t.PerSecond || s.burst != t.Burst {
		a.settle(s, now)
		s.perSecond, s.burst = t.PerSecond, t.Burst
		a.limitLevel(s)
	}
	return s
}

// settle adds the tokens that were refilled since the last call. The caller must hold the mutex.
func (a *Allowances) settle(s *team, now time.Time) {
	elapsed := now.Sub(s.settledAt)
	if elapsed <= 0 {
		return
	}
	s.settledAt = now
	s.level += s.perSecond * a.share(now) * elapsed.Seconds()
	s.full += s.perSecond * elapsed.Seconds()
	a.limitLevel(s)
}

func (a *Allowances) limitLevel(s *team) {
	s.full = min(s.full, a.bucket(s))
	s.level = min(s.level, s.full, a.capacity(s))
}

// add adds tokens to a team's buckets, or takes them.
func (a *Allowances) add(s *team, tokens float64) {
	s.level += tokens
	s.full += tokens
	a.limitLevel(s)
}

// share returns the part of the rate that this instance and its live peers may use. The caller must hold the mutex.
func (a *Allowances) share(now time.Time) float64 {
	share := a.liveShare()
	if a.live == 0 && a.registered > 0 && now.Sub(a.isolatedSince) > isolationTimeout {
		share /= 2
	}
	return share
}

func (a *Allowances) liveShare() float64 {
	return float64(min(a.live, a.registered)+1) / float64(a.registered+1)
}

// excess returns the admissions beyond rate and burst that are planned with: grace is what the bucket holds above the burst,
// unreported is what all instances together may admit beyond the bucket before they know of each other's admissions.
func (a *Allowances) excess(s *team) (grace, unreported float64) {
	all := a.config.Overshoot*(s.perSecond*a.config.Window.Seconds()+s.burst) + a.config.Slack
	usable := usableExcess * all
	grace = graceShare * all
	return grace, usable - grace
}

// bucket returns the capacity of the bucket of all instances.
func (a *Allowances) bucket(s *team) float64 {
	grace, _ := a.excess(s)
	return max(1, s.burst+grace)
}

// capacity returns the most tokens that the bucket of this instance and its live peers may hold; it holds one in any case, as an
// instance on its own could admit nothing otherwise.
func (a *Allowances) capacity(s *team) float64 { return max(1, a.bucket(s)*a.liveShare()) }

// unreported returns the number of this instance's admissions of which at least one live peer does not know.
func (a *Allowances) unreported(s *team) float64 {
	most := int64(0)
	for _, p := range a.peers {
		if !p.silent && p.registered {
			most = max(most, s.admitted-p.use(s.name).acknowledged)
		}
	}
	return float64(most)
}

// mostUnreported returns how many admissions this instance may have made without a live peer's knowledge.
//
// Half of what is left of the bucket and the excess is divided equally, so that a team's callers may come to any instance; the other
// half by the demand that all live peers know of, so that the shares of all instances add up to no more than all of it. Shares are
// larger while the demand of all instances is near the rate or below it.
func (a *Allowances) mostUnreported(s *team, unreported float64, now time.Time) float64 {
	_, excess := a.excess(s)
	own := s.demand.at(now)
	total := 0.0
	for _, p := range a.peers {
		if u, ok := p.uses[s.name]; ok && !p.silent {
			total += u.demand.at(now)
			if p.registered {
				own = min(own, u.reportedDemand.at(now))
			}
		} else if !p.silent && p.registered {
			own = 0
		}
	}
	members := float64(a.live + 1)
	weight := 1 / members
	if total += own; total > 0 {
		weight = own / total
	}
	left := excess*a.liveShare() + max(0, s.level+unreported)
	part := 0.5/members + 0.5*weight
	if total+s.demand.at(now)-own <= calmDemand*s.perSecond {
		part = max(part, calmPart)
	}
	most := left * part
	switch {
	case most >= 1:
		return most
	case members <= excess || total*expectedLag.Seconds() <= excess/2 || a.hasTurn(s, left/members, now):
		return 1
	}
	return 0
}

// hasTurn reports whether this instance is among the given part of the instances, which differ from one turn to the next.
func (a *Allowances) hasTurn(s *team, part float64, now time.Time) bool {
	turn := now.UnixNano() / int64(turnPeriod)
	hash := xxhash.New()
	for _, text := range []string{a.config.InstanceName, "/", s.name} {
		hash.WriteString(text)
	}
	var number [8]byte
	for i := range number {
		number[i] = byte(turn >> (8 * i))
	}
	hash.Write(number[:])
	return float64(hash.Sum64())/math.MaxUint64 < part
}

// noteRefusal logs the first refusal after a time within the limit.
func (a *Allowances) noteRefusal(s *team, now time.Time) {
	if s.overSince.IsZero() {
		klog.InfoS("Team over its limit, requests are refused", "team", s.name, "perSecond", s.perSecond, "burst", s.burst, "admitted", s.uses.sum(a.config.Window, now))
		s.overSince, s.refused = now, 0
	}
	s.refusedAt = now
	s.refused++
}

// noteWithin logs that a team has had no refusal for a window.
func (a *Allowances) noteWithin(s *team, now time.Time) {
	if s.overSince.IsZero() || now.Sub(s.refusedAt) < a.config.Window {
		return
	}
	klog.InfoS("Team within its limit again", "team", s.name, "refused", s.refused, "overForMs", s.refusedAt.Sub(s.overSince).Milliseconds())
	s.overSince = time.Time{}
}
