package pollensuspect

import (
	"slices"
	"time"
)

// Message holds one instance's evidence for another one. Its times are ages, so that clocks need not agree.
type Message struct {
	Records []Record
	// Version is the sender's version of the evidence.
	Version uint64
}

// Record is the evidence against one content in a Message.
type Record struct {
	Content Fingerprint
	Route   string
	Rounds  []Round
	// Verdicts is how often the content was refused; RefusedFor and RefusedAge are how much longer it is and since when.
	Verdicts               int
	RefusedFor, RefusedAge time.Duration
	// Cleared is set if earlier evidence does not count, ClearedAge is since when.
	Cleared    bool
	ClearedAge time.Duration
}

// Round is one time at which servers ended under a request, in a Message.
type Round struct {
	ID       string
	Instance string
	// Servers holds the IDs of the servers that ended.
	Servers []string
	// Age is the time since a server was found to have ended, SentAge that since its request was sent.
	Age, SentAge time.Duration
}

// Message returns all evidence.
func (r *Registry) Message(now time.Time) Message {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	m := Message{Version: r.version.Load()}
	for content, rec := range r.records {
		shared := Record{Content: content, Route: rec.route, Verdicts: rec.verdicts}
		if now.Before(rec.refusedUntil) {
			shared.RefusedFor, shared.RefusedAge = rec.refusedUntil.Sub(now), now.Sub(rec.refusedSince)
		}
		if !rec.clearedAt.IsZero() {
			shared.Cleared, shared.ClearedAge = true, now.Sub(rec.clearedAt)
		}
		for _, own := range rec.rounds {
			shared.Rounds = append(shared.Rounds, Round{ID: own.id, Instance: own.instance, Servers: slices.Clone(own.servers), Age: now.Sub(own.endedAt), SentAge: now.Sub(own.sentAt)})
		}
		m.Records = append(m.Records, shared)
	}
	return m
}

// Merge adds another instance's evidence.
func (r *Registry) Merge(m Message, now time.Time) {
	if len(m.Records) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := false
	for _, shared := range m.Records[:min(len(m.Records), maxRecords)] {
		if r.mergeRecord(shared, now) {
			changed = true
		}
	}
	if changed {
		r.noteChange(false)
	}
}

// messageDelay is the longest time that a message usually takes. The requests of a round may have been sent that much earlier than
// its age says; without that, rounds that were simultaneous would seem to follow each other.
const messageDelay = 15 * time.Millisecond

// clockTolerance is by how much the ages of one event may differ between two instances: the way of a message between them.
const clockTolerance = 500 * time.Millisecond

// mergeRecord adds another instance's evidence against one content, and reports whether any of it is new. The caller must
// hold the mutex.
func (r *Registry) mergeRecord(shared Record, now time.Time) bool {
	rec := r.record(shared.Content, shared.Route, now)
	changed := false
	if clearedAt := now.Add(-shared.ClearedAge); shared.Cleared && clearedAt.After(rec.clearedAt.Add(clockTolerance)) {
		rec.clearRounds(clearedAt)
		changed = true
	}
	for _, added := range shared.Rounds[:min(len(shared.Rounds), maxRounds)] {
		if len(added.Servers) == 0 {
			continue
		}
		added.Servers = added.Servers[:min(len(added.Servers), maxServers)]
		if i := slices.IndexFunc(rec.rounds, func(own round) bool { return own.id == added.ID }); i >= 0 && len(added.Servers) > len(rec.rounds[i].servers) {
			rec.rounds[i].servers = added.Servers
			changed = true
		}
		endedAt := now.Add(-max(added.Age, 0))
		if !endedAt.After(rec.clearedAt) || rec.knows(added.ID) || rec.dropped(endedAt) {
			continue
		}
		rec.addRound(round{id: added.ID, instance: added.Instance, servers: added.Servers, sentAt: now.Add(-max(added.SentAge, added.Age) - messageDelay), endedAt: endedAt})
		changed = true
	}
	if len(rec.rounds) == 0 {
		return changed
	}
	if until := now.Add(min(shared.RefusedFor, longestVerdict)); shared.RefusedFor > 0 && until.After(rec.refusedUntil.Add(clockTolerance)) {
		rec.refusedSince, rec.refusedUntil, rec.verdicts = now.Add(-shared.RefusedAge), until, max(rec.verdicts, shared.Verdicts)
		changed = true
	}
	if changed {
		r.judge(shared.Content, rec, now)
	}
	return changed
}

// knows reports whether a round is among those that count or those that do not.
func (rec *record) knows(id string) bool {
	return slices.ContainsFunc(rec.rounds, func(own round) bool { return own.id == id }) || slices.Contains(rec.clearedRounds, id)
}

// dropped reports whether a round that ended at a time would be dropped again because there are enough later ones.
func (rec *record) dropped(endedAt time.Time) bool {
	return len(rec.rounds) >= maxRounds && endedAt.Before(rec.rounds[0].endedAt)
}
