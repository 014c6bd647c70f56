package pollensuspect

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"
)

// Config holds the parameters of a Registry.
type Config struct {
	// InstanceName is the name of this instance, by which evidence says who saw it.
	InstanceName string
}

// Registry holds the evidence of one instance against requests under which servers ended.
type Registry struct {
	config Config

	mu      sync.Mutex
	records map[Fingerprint]*record
	// version changes with the evidence.
	version atomic.Uint64
	// size is the number of records, read without the mutex.
	size atomic.Int32
	// changed holds a value while there is new evidence of this instance that was not sent to the others.
	changed chan struct{}
	// ownChanges counts the changes by this instance, shared those that the others know; sharedMore is closed and replaced
	// when shared grows.
	ownChanges, shared int
	sharedMore         chan struct{}
}

// record is the evidence against one content.
type record struct {
	route  string
	rounds []round
	// verdicts counts how often the content was refused; refusedUntil is the end of the last verdict.
	verdicts     int
	refusedSince time.Time
	refusedUntil time.Time
	// clearedAt is when a server answered such a request or an operator lifted the verdict; earlier evidence does not count.
	clearedAt time.Time
	// clearedRounds holds the IDs of rounds that do not count; other instances may still send them.
	clearedRounds []string
	// testing is set while an attempt of this instance tests whether servers end under the content.
	testing bool
}

// round is one time at which servers ended under a request, as one instance saw it. Servers that end under requests which were in
// flight at the same time make up one round: all but one of these requests may be harmless.
type round struct {
	// id is unique among the rounds of all instances.
	id       string
	instance string
	// servers holds the IDs of the servers that ended, maxServers at most.
	servers []string
	// sentAt is when the first of the requests was sent, endedAt when its server was found to have ended.
	sentAt, endedAt time.Time
}

const (
	// verdictRounds is the number of rounds without an answer in between after which a request is refused. A harmless
	// request needs bad luck as often in a row.
	verdictRounds = 3
	// While alertContents different requests of a route have ended servers, each in alertRounds rounds or alertServers servers at
	// once, the last time within alertDuration, the others of the route go to one server first. That costs each of them the time
	// of one more answer, too much for a single request that will be refused soon.
	alertContents = 2
	alertRounds   = 2
	alertServers  = 10
	alertDuration = 10 * time.Second
	// firstVerdictDuration is how long the first verdict holds. The duration doubles each time up to longestVerdict, so
	// that a wrong one heals soon and a right one costs few servers.
	firstVerdictDuration = 2 * time.Minute
	longestVerdict       = time.Hour
	// suspicionDuration is how long evidence without a verdict is kept after the last round.
	suspicionDuration = time.Minute
	// probationDuration is how long the evidence is kept after a verdict: one more round renews the verdict.
	probationDuration = 10 * time.Minute
	// maxRecords bounds the number of contents with evidence; maxRounds bounds the rounds kept of each.
	maxRecords = 512
	maxRounds  = 8
	// maxServers bounds the servers that are kept of each round.
	maxServers = 256
	// endedMemory is how long a server that ended is taken to be away.
	endedMemory = 3 * time.Second
	// maxClearedRounds bounds the rounds that are remembered because they do not count.
	maxClearedRounds = 2 * maxRounds
)

// New returns a Registry without evidence.
func New(config Config) *Registry {
	r := &Registry{
		config: config, records: make(map[Fingerprint]*record), changed: make(chan struct{}, 1),
		sharedMore: make(chan struct{}),
	}
	// Two incarnations of an instance must not use the same versions.
	r.version.Store(rand.Uint64())
	return r
}

// Decision states how a request may be sent.
type Decision int

// The decisions, in the order of caution.
const (
	// Send means that the request may be sent to all servers that it needs.
	Send Decision = iota
	// SendCanary means that servers have ended under other requests of the route lately: this one goes to one server first.
	SendCanary
	// SendSuspect means that servers have ended under requests of this content: they go to one server at a time until one
	// has answered.
	SendSuspect
	// Refuse means that the evidence suffices to refuse the request.
	Refuse
)

// Verdict describes why requests of a content are refused.
type Verdict struct {
	Content Fingerprint
	// Since and Until are the begin and the end of the refusal.
	Since, Until time.Time
	// Servers is the number of servers that ended in the rounds that are kept.
	Servers int
	// Instances lists the instances that saw them end.
	Instances []string
}

// Decide returns how a request of a route may be sent, and the verdict if it is refused.
func (r *Registry) Decide(content Fingerprint, route string, now time.Time) (Decision, Verdict) {
	if r.Empty() {
		return Send, Verdict{}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	rec, ok := r.records[content]
	ok = ok && now.Before(rec.keptUntil())
	switch {
	case ok && now.Before(rec.refusedUntil):
		return Refuse, rec.verdict(content)
	case ok && len(rec.rounds) > 0:
		return SendSuspect, Verdict{}
	case r.alerted(route, now):
		return SendCanary, Verdict{}
	}
	return Send, Verdict{}
}

// EndedLately returns the IDs of the servers that ended under a content lately, at any instance.
func (r *Registry) EndedLately(content Fingerprint, now time.Time) map[string]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	ended := make(map[string]bool)
	rec, ok := r.records[content]
	if !ok {
		return ended
	}
	for _, own := range rec.rounds {
		if now.Sub(own.endedAt) >= endedMemory {
			continue
		}
		for _, id := range own.servers {
			ended[id] = true
		}
	}
	return ended
}

// RecordCrash records that a server ended under a request that was sent to it at a time.
func (r *Registry) RecordCrash(content Fingerprint, route, server string, sentAt, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.record(content, route, now)
	if !sentAt.After(rec.clearedAt) {
		return
	}
	for i := range rec.rounds {
		if own := &rec.rounds[i]; own.instance == r.config.InstanceName && sentAt.Before(own.endedAt) {
			if len(own.servers) < maxServers && !slices.Contains(own.servers, server) {
				own.servers = append(own.servers, server)
				r.noteChange(true)
			}
			return
		}
	}
	id := fmt.Sprintf("%s/%016x", r.config.InstanceName, rand.Uint64())
	rec.addRound(round{id: id, instance: r.config.InstanceName, servers: []string{server}, sentAt: sentAt, endedAt: now})
	r.judge(content, rec, now)
	r.noteChange(true)
}

// RecordAnswer records that a server has answered a request: it does not end those that run it.
func (r *Registry) RecordAnswer(content Fingerprint, now time.Time) {
	if r.Empty() {
		return
	}
	r.clear(content, "a server has answered", now)
}

// Lift removes the evidence against a content at an operator's request, and reports whether there was any.
func (r *Registry) Lift(content Fingerprint, now time.Time) bool {
	return r.clear(content, "lifted by an operator", now)
}

// clear removes the evidence against a content, and reports whether there was any.
func (r *Registry) clear(content Fingerprint, cause string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec, ok := r.records[content]
	if !ok || len(rec.rounds) == 0 {
		return false
	}
	klog.InfoS("Suspicion cleared", "content", content.String(), "route", rec.route, "rounds", len(rec.rounds), "cause", cause)
	rec.clearRounds(now)
	r.noteChange(true)
	return true
}

// TryTest reports whether an attempt of a content that there is evidence against may be sent now: one at a time, so that the
// evidence of one counts before the next. EndTest must be called after it.
func (r *Registry) TryTest(content Fingerprint, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.mayTest(content, now) {
		return false
	}
	if rec, ok := r.records[content]; ok {
		rec.testing = true
	}
	return true
}

// MayTest reports what TryTest would.
func (r *Registry) MayTest(content Fingerprint, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mayTest(content, now)
}

// mayTest reports what TryTest would. The caller must hold the mutex.
func (r *Registry) mayTest(content Fingerprint, now time.Time) bool {
	rec, ok := r.records[content]
	return !ok || (!rec.testing && !now.Before(rec.refusedUntil))
}

// EndTest ends what TryTest began.
func (r *Registry) EndTest(content Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rec, ok := r.records[content]; ok {
		rec.testing = false
	}
}

// Empty reports whether there is no evidence at all.
func (r *Registry) Empty() bool { return r.size.Load() == 0 }

// Changed receives a value when this instance has new evidence for the others.
func (r *Registry) Changed() <-chan struct{} { return r.changed }

// OwnChanges returns the number of changes by this instance so far.
func (r *Registry) OwnChanges() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ownChanges
}

// SetShared records that the other instances have been told of a number of changes, as far as they can be reached.
func (r *Registry) SetShared(changes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if changes <= r.shared {
		return
	}
	r.shared = changes
	close(r.sharedMore)
	r.sharedMore = make(chan struct{})
}

// AwaitShared waits until the other instances have been told of all changes by this instance so far, or ctx is done.
//
// Load pattern: a caller repeats a request at another instance as soon as it has failed here.
func (r *Registry) AwaitShared(ctx context.Context) {
	target := r.OwnChanges()
	for {
		r.mu.Lock()
		done, more := r.shared >= target, r.sharedMore
		r.mu.Unlock()
		if done {
			return
		}
		select {
		case <-more:
		case <-ctx.Done():
			return
		}
	}
}

// Version returns a number that differs whenever the evidence does.
func (r *Registry) Version() uint64 { return r.version.Load() }

// Refused returns the number of contents that are refused now.
func (r *Registry) Refused() int { return len(r.Verdicts(time.Now())) }

// Verdicts returns the verdicts in force, oldest first.
func (r *Registry) Verdicts(now time.Time) []Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	var verdicts []Verdict
	for content, rec := range r.records {
		if now.Before(rec.refusedUntil) {
			verdicts = append(verdicts, rec.verdict(content))
		}
	}
	slices.SortFunc(verdicts, func(a, b Verdict) int { return a.Since.Compare(b.Since) })
	return verdicts
}

// judge begins a verdict if the evidence suffices. The caller must hold the mutex.
func (r *Registry) judge(content Fingerprint, rec *record, now time.Time) {
	last := rec.rounds[len(rec.rounds)-1]
	if rec.countRounds() < verdictRounds || !last.endedAt.After(rec.refusedUntil) {
		return
	}
	duration := min(firstVerdictDuration<<min(rec.verdicts, maxDoublings), longestVerdict)
	if until := last.endedAt.Add(duration); now.Before(until) {
		rec.verdicts++
		rec.refusedSince, rec.refusedUntil = now, until
		klog.InfoS("Requests refused, as servers end under them", "content", content.String(), "route", rec.route, "rounds", len(rec.rounds),
			"servers", rec.serverCount(), "seenBy", rec.instances(), "lastServer", last.servers[0], "verdicts", rec.verdicts, "until", until)
	}
}

// alerted reports whether requests of a route that no server has answered go to one server first. The caller must hold the mutex.
func (r *Registry) alerted(route string, now time.Time) bool {
	count := 0
	for _, rec := range r.records {
		if rec.route == route && rec.alerts(now) {
			count++
		}
	}
	return count >= alertContents
}

// alerts reports whether the evidence counts for an alert of the route.
func (rec *record) alerts(now time.Time) bool {
	n := len(rec.rounds)
	if n == 0 || now.Sub(rec.rounds[n-1].endedAt) >= alertDuration {
		return false
	}
	return rec.countRounds() >= alertRounds || slices.ContainsFunc(rec.rounds, func(r round) bool { return len(r.servers) >= alertServers })
}

// maxDoublings is how often the duration of a verdict may double before it exceeds longestVerdict.
const maxDoublings = 5

// record returns the evidence against a content, which it adds if there is none. The caller must hold the mutex.
func (r *Registry) record(content Fingerprint, route string, now time.Time) *record {
	rec, ok := r.records[content]
	if !ok {
		r.expire(now)
		rec = &record{route: route}
		r.records[content] = rec
		r.size.Store(int32(len(r.records)))
	}
	return rec
}

// expire forgets what is out of date, and the least recent evidence if there is too much. The caller must hold the mutex.
func (r *Registry) expire(now time.Time) {
	for content, rec := range r.records {
		if !now.Before(rec.keptUntil()) {
			delete(r.records, content)
		}
	}
	for len(r.records) >= maxRecords {
		var oldest Fingerprint
		var oldestUntil time.Time
		for content, rec := range r.records {
			if until := rec.keptUntil(); oldestUntil.IsZero() || until.Before(oldestUntil) {
				oldest, oldestUntil = content, until
			}
		}
		delete(r.records, oldest)
	}
	r.size.Store(int32(len(r.records)))
}

// noteChange makes a new version; own is set if the other instances must be told. The caller must hold the mutex.
func (r *Registry) noteChange(own bool) {
	r.version.Add(1)
	if !own {
		return
	}
	r.ownChanges++
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// addRound adds a round in the order of time, and drops the oldest one beyond maxRounds.
func (rec *record) addRound(added round) {
	rec.rounds = append(rec.rounds, added)
	slices.SortStableFunc(rec.rounds, func(a, b round) int { return cmp.Or(a.endedAt.Compare(b.endedAt), cmp.Compare(a.id, b.id)) })
	rec.rounds = rec.rounds[max(0, len(rec.rounds)-maxRounds):]
}

// countRounds returns the number of rounds of which each was sent after the one before it had ended. Others are no evidence of
// their own: instances that lose their links to the servers at the same time all see their requests break.
func (rec *record) countRounds() int {
	count, lastEnd := 0, time.Time{}
	for _, r := range rec.rounds {
		if !r.sentAt.Before(lastEnd) {
			count++
			lastEnd = r.endedAt
		}
	}
	return count
}

// clearRounds removes the evidence up to a time, and the verdict if nothing is left.
func (rec *record) clearRounds(at time.Time) {
	rec.clearedAt = at
	rec.rounds = slices.DeleteFunc(rec.rounds, func(own round) bool {
		if own.endedAt.After(at) {
			return false
		}
		rec.clearedRounds = append(rec.clearedRounds, own.id)
		return true
	})
	rec.clearedRounds = rec.clearedRounds[max(0, len(rec.clearedRounds)-maxClearedRounds):]
	if len(rec.rounds) == 0 {
		rec.verdicts, rec.refusedSince, rec.refusedUntil = 0, time.Time{}, time.Time{}
	}
}

// keptUntil returns when the record is forgotten.
func (rec *record) keptUntil() time.Time {
	until := rec.clearedAt.Add(suspicionDuration)
	if len(rec.rounds) > 0 {
		until = later(until, rec.rounds[len(rec.rounds)-1].endedAt.Add(suspicionDuration))
	}
	if rec.verdicts > 0 {
		until = later(until, rec.refusedUntil.Add(probationDuration))
	}
	return until
}

func (rec *record) verdict(content Fingerprint) Verdict {
	return Verdict{Content: content, Since: rec.refusedSince, Until: rec.refusedUntil, Servers: rec.serverCount(), Instances: rec.instances()}
}

func (rec *record) serverCount() int {
	count := 0
	for _, r := range rec.rounds {
		count += len(r.servers)
	}
	return count
}

// instances returns the names of the instances that saw servers end.
func (rec *record) instances() []string {
	var names []string
	for _, r := range rec.rounds {
		names = append(names, r.instance)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
