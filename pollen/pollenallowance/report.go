package pollenallowance

import (
	"math"
	"time"

	"pollenline.example/pollen/pollencatalog"
)

// Message is one instance's usage report for another one. Its times are ages, so that clocks need not agree.
type Message struct {
	Instance    string
	Incarnation string
	// Age is the time since the sender's start.
	Age time.Duration
	// Sequence orders the messages of one incarnation.
	Sequence uint64
	// Uses holds the teams whose counts the receiver may not know, at most maxUses.
	Uses []Use
}

// Use is the use of one team at the sender.
type Use struct {
	Team string
	// Admitted is the number of requests admitted since the sender's start and not refunded.
	Admitted int64
	// Demand is the recent number of requests per second, including the refused ones.
	Demand float64
	// Level is the number of tokens as far as the sender knows, for instances that have just started or were frozen.
	Level float64
}

const (
	// maxUses bounds the teams in a message; others follow in the next one.
	maxUses = 1024
	// maxPeers bounds the instances of which reports are kept.
	maxPeers = 512
	// peerRetention is how long a peer that is not registered is remembered after its last report.
	peerRetention = 10 * time.Second
)

// peer is what is known of another instance.
type peer struct {
	name, incarnation string
	// registered is set if the peer is in the table; others only send reports.
	registered bool
	// silent is set from silentSince on if the peer has not reported for silenceTimeout.
	silent      bool
	silentSince time.Time
	heardAt     time.Time
	// startedAt is the peer's start as its messages tell, which is too late by the way of the fastest one.
	startedAt time.Time
	// sequence is that of the last message; sent is this instance's sequence up to which the peer has acknowledged the counts.
	sequence, sent uint64
	// reporting is set during an exchange of reports, reportedAt is the start of the last one.
	reporting  bool
	reportedAt time.Time
	uses       map[string]*peerUse
}

// peerUse is the use of one team at a peer, and what the peer knows of this instance's use.
type peerUse struct {
	known    bool
	admitted int64
	demand   rate
	// heardAt is when the count was reported last.
	heardAt time.Time
	// acknowledged is the number of this instance's admissions, and reportedDemand its demand, of which the peer knows.
	acknowledged   int64
	reportedDemand rate
	// withheld is the number of tokens that were left to the peer when it became silent.
	// From withheldSince on, the tokens are refilled without the peer's share.
	withheld      float64
	withheldSince time.Time
}

func (p *peer) use(team string) *peerUse {
	u, ok := p.uses[team]
	if !ok {
		u = &peerUse{}
		p.uses[team] = u
	}
	return u
}

// setPeers adopts the registered instances. The caller must hold the mutex, and have settled all teams.
func (a *Allowances) setPeers(instances []pollencatalog.Instance, now time.Time) {
	wasRegistered := make(map[string]bool, len(a.peers))
	for _, p := range a.peers {
		wasRegistered[p.name], p.registered = p.registered, false
	}
	var joined []*peer
	for _, i := range instances {
		if i.Name == a.config.InstanceName {
			continue
		}
		p, ok := a.peers[i.Name]
		if !ok {
			p = a.addPeer(i.Name, i.Incarnation, now)
		}
		if p.silent && !wasRegistered[i.Name] {
			p.silentSince = now
			joined = append(joined, p)
		}
		p.registered = true
	}
	before := a.registered
	a.count(now)
	for _, s := range a.teams {
		for _, p := range joined {
			a.withhold(s, p)
		}
		if before != a.registered {
			a.limitLevel(s)
		}
	}
}

// addPeer adds a peer that has not reported yet.
func (a *Allowances) addPeer(name, incarnation string, now time.Time) *peer {
	p := &peer{name: name, incarnation: incarnation, silent: true, silentSince: now, uses: make(map[string]*peerUse)}
	a.peers[name] = p
	return p
}

// count counts the registered and the live peers and drops those that are neither.
func (a *Allowances) count(now time.Time) {
	wasLive := a.live
	a.registered, a.live = 0, 0
	a.reviewAt = now.Add(silenceTimeout)
	for name, p := range a.peers {
		switch {
		case !p.registered:
			if now.Sub(p.heardAt) > peerRetention && now.Sub(p.silentSince) > peerRetention {
				delete(a.peers, name)
			}
			continue
		case !p.silent:
			a.live++
			if due := p.heardAt.Add(silenceTimeout); due.Before(a.reviewAt) {
				a.reviewAt = due
			}
		}
		a.registered++
	}
	if wasLive > 0 && a.live == 0 {
		a.isolatedSince = now
	}
}

// review notices peers that have become silent and teams that are within their limit again. The caller must hold the mutex.
func (a *Allowances) review(now time.Time) {
	if now.Sub(a.seenAt) >= silenceTimeout {
		a.gapAt = now
	}
	a.seenAt = now
	if now.Before(a.reviewAt) {
		return
	}
	var fellSilent []*peer
	for _, p := range a.peers {
		if !p.silent && now.Sub(p.heardAt) >= silenceTimeout {
			p.silent, p.silentSince = true, now
			if p.registered {
				fellSilent = append(fellSilent, p)
			}
		}
	}
	a.count(now)
	// The tokens of the time without contact are added afterwards, at the lower rate: the instance may have been frozen.
	for _, s := range a.teams {
		for _, p := range fellSilent {
			a.withhold(s, p)
		}
		a.limitLevel(s)
		a.noteWithin(s, now)
	}
}

// withhold leaves to a silent peer its share of the tokens, as the peer knows them, and keeps one token in any case.
func (a *Allowances) withhold(s *team, p *peer) {
	u := p.use(s.name)
	left := max(0, s.level+float64(s.admitted-u.acknowledged)) / float64(a.registered+1)
	u.withheld = max(0, min(left, s.level-1))
	u.withheldSince = s.settledAt
	s.level -= u.withheld
}

// assumed returns the admissions of a silent peer that were assumed since it was heard last.
func (a *Allowances) assumed(s *team, p *peer, now time.Time) float64 {
	if !p.silent || !p.registered {
		return 0
	}
	u := p.use(s.name)
	return u.withheld + s.perSecond/float64(a.registered+1)*now.Sub(u.withheldSince).Seconds()
}

// Merge adopts another instance's usage report.
func (a *Allowances) Merge(m Message, now time.Time) {
	if m.Instance == "" || m.Instance == a.config.InstanceName {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.review(now)
	p, ok := a.peers[m.Instance]
	if !ok {
		if len(a.peers) >= maxPeers {
			return
		}
		p = a.addPeer(m.Instance, m.Incarnation, now)
	}
	if p.incarnation != m.Incarnation {
		p.restart(m.Incarnation)
	}
	if m.Sequence < p.sequence {
		return
	}
	// A message that was read long after it was sent, as an instance does that was frozen, is no sign of contact.
	late := p.lateness(m.Age, now)
	if late >= silenceTimeout {
		return
	}
	p.sequence = m.Sequence
	credit := make(map[string]float64)
	if p.silent {
		for name, s := range a.teams {
			a.settle(s, now)
			if assumed := a.assumed(s, p, now); assumed > 0 {
				credit[name] = assumed
			}
		}
	}
	p.silent, p.heardAt = false, now.Add(-late)
	a.count(now)
	for _, used := range m.Uses[:min(len(m.Uses), maxUses)] {
		if s, ok := a.teams[used.Team]; ok {
			a.settle(s, now)
			s.level += credit[used.Team]
			delete(credit, used.Team)
			a.charge(s, p.use(used.Team), used, now.Add(-max(0, m.Age)), now)
		}
	}
	for name, tokens := range credit {
		a.teams[name].level += tokens
		a.limitLevel(a.teams[name])
	}
}

// charge adopts the use of one team at a peer that started at startedAt.
func (a *Allowances) charge(s *team, u *peerUse, used Use, startedAt, now time.Time) {
	if used.Demand > 0 {
		a.noteDemand(now)
		u.demand = rate{perSecond: used.Demand, asOf: now}
	}
	admitted := used.Admitted - u.admitted
	switch {
	case !u.known && startedAt.Before(s.createdAt):
		// The count includes admissions from before this instance knew the team; the peer's tokens show what is left.
		s.level, s.full = min(s.level, used.Level), min(s.full, used.Level)
	case u.heardAt.Before(a.gapAt):
		s.level, s.full = min(s.level, used.Level), min(s.full, used.Level)
		s.uses.add(a.config.Window, int(admitted), now)
	default:
		a.add(s, -float64(admitted))
		s.uses.add(a.config.Window, int(admitted), now)
	}
	u.heardAt = now
	u.known, u.admitted = true, used.Admitted
	a.limitLevel(s)
}

// clockDrift is by how much two monotonic clocks may differ in their rate; 50 in a million is usual.
const clockDrift = 0.0002

// lateness returns how much longer than the fastest one a message of the given age took.
func (p *peer) lateness(age time.Duration, now time.Time) time.Duration {
	startedAt := now.Add(-max(0, age))
	if !p.startedAt.IsZero() {
		p.startedAt = p.startedAt.Add(time.Duration(clockDrift * float64(max(0, now.Sub(p.heardAt)))))
	}
	if p.startedAt.IsZero() || startedAt.Before(p.startedAt) {
		p.startedAt = startedAt
	}
	return startedAt.Sub(p.startedAt)
}

// restart forgets the counts of a peer's former incarnation.
func (p *peer) restart(incarnation string) {
	p.incarnation, p.sequence, p.sent, p.startedAt = incarnation, 0, 0, time.Time{}
	for _, u := range p.uses {
		*u = peerUse{withheld: u.withheld, withheldSince: u.withheldSince}
	}
}

// Message returns the usage report for a peer: the teams whose counts have changed since it acknowledged them.
func (a *Allowances) Message(peerName string, now time.Time) Message {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.review(now)
	m := Message{Instance: a.config.InstanceName, Incarnation: a.config.Incarnation, Age: now.Sub(a.config.Start), Sequence: a.sequence}
	acknowledged := uint64(0)
	if p, ok := a.peers[peerName]; ok {
		acknowledged = p.sent
	}
	for _, s := range a.teams {
		if s.changedAt <= acknowledged {
			continue
		}
		if len(m.Uses) == maxUses {
			break
		}
		a.settle(s, now)
		m.Uses = append(m.Uses, Use{Team: s.name, Admitted: s.admitted, Demand: s.demand.at(now), Level: s.full})
	}
	return m
}

// Begin returns the report for a registered peer if an exchange with it is due; End must follow.
func (a *Allowances) Begin(peerName string, now time.Time) (Message, bool) {
	a.mu.Lock()
	p, ok := a.peers[peerName]
	since := time.Duration(math.MaxInt64)
	if ok && !p.reportedAt.IsZero() {
		since = now.Sub(p.reportedAt)
	}
	if !ok || p.reporting || !a.Active(now) || since < UrgentInterval ||
		p.sent >= a.urgent && (since < ReportInterval || p.sent >= a.sequence && now.Sub(p.heardAt) < ReportInterval) {
		a.mu.Unlock()
		return Message{}, false
	}
	p.reporting, p.reportedAt = true, now
	a.mu.Unlock()
	return a.Message(peerName, now), true
}

// End records the end of an exchange for which Begin returned the report; reply is nil if it failed.
func (a *Allowances) End(peerName string, report Message, reply *Message, sentAt, now time.Time) {
	if reply != nil {
		a.Merge(*reply, now)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	p, ok := a.peers[peerName]
	if !ok {
		return
	}
	p.reporting = false
	if reply == nil || p.incarnation != reply.Incarnation {
		return
	}
	for _, used := range report.Uses {
		u := p.use(used.Team)
		u.acknowledged, u.reportedDemand = used.Admitted, rate{perSecond: used.Demand, asOf: sentAt}
	}
	if len(report.Uses) < maxUses {
		p.sent = max(p.sent, report.Sequence)
	}
}

// Active reports whether limited teams have sent requests recently, to any instance.
func (a *Allowances) Active(now time.Time) bool {
	last := a.lastDemand.Load()
	return last != 0 && now.Sub(time.Unix(0, last)) < activePeriod
}

// Changed returns a channel that receives a value when reports should be sent before the ReportInterval has passed.
func (a *Allowances) Changed() <-chan struct{} { return a.changed }

func (a *Allowances) wake() {
	select {
	case a.changed <- struct{}{}:
	default:
	}
}

// noteDemand records that a limited team sends requests, and starts the exchange of reports if none did before.
func (a *Allowances) noteDemand(now time.Time) {
	if !a.Active(now) {
		a.wake()
	}
	a.lastDemand.Store(now.UnixNano())
}
