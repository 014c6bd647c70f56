package pollenrollout

import (
	"context"
	"errors"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"pollenline.example/pollen/pollencatalog"
	"pollenline.example/pollen/pollenstore"
)

// Committer executes conditional transactions of the store.
type Committer interface {
	// Commit returns the revision, or a *pollenstore.ConditionError if the conditions do not hold.
	Commit(ctx context.Context, transaction pollenstore.Transaction) (uint64, error)
}

// RecorderConfig holds the parameters of a Recorder.
type RecorderConfig struct {
	Store  Committer
	Router *Router
	// Instance is the name of this instance.
	Instance string
	Table    func() *pollencatalog.Table
}

// Recorder stores the versions in force of services for which the store says nothing, or something older: at the first start of a
// service, and after the store came back from a copy. Completed rollouts need no record, as their stored state names the version.
type Recorder struct {
	config RecorderConfig
	mu     sync.Mutex
	// busy is set during a write.
	busy bool
	// pausedUntil is the time before which nothing is written, as the table may not show the last write yet.
	pausedUntil time.Time
}

const (
	// recorderKey is the key by whose rank one instance records the versions of all services: its transactions hold many of them.
	recorderKey = "versions in force"
	// settleTime is how long the store must have lacked a version before it is recorded; servers may be listed one by one at a first start,
	// and a table may lag behind what a driver has answered.
	settleTime = 2 * time.Second
	// turnTime is how much longer each further instance waits by rank: the ones before it may be of a former build that records nothing.
	turnTime = 2 * time.Second
	// guessTime is how much longer a guess waits: an instance that was running before may know the version.
	guessTime = 10 * time.Second
	// writePause is the time between two writes.
	writePause = 5 * time.Second
	// maxTransactionEntries is the number of conditions and keys that the platform's store takes in one transaction.
	maxTransactionEntries = 32
)

// unrecorded is a record that the store lacks.
type unrecorded struct {
	// record has the time of its source, which is replaced by the present one when it is written.
	record pollencatalog.VersionRecord
	// stateRevision is the revision of the stored state of the service's rollout, zero if there is none.
	stateRevision uint64
	// since is when the store was first seen to lack the record.
	since time.Time
}

// isDue reports whether the instance at a position by rank should write a record.
//
// Load pattern: all instances learn the versions of all services at the same moment. One of them writes, the others follow it.
func (u unrecorded) isDue(position int, now time.Time) bool {
	wait := settleTime + time.Duration(position)*turnTime
	if u.record.Guessed {
		wait += guessTime
	}
	return now.Sub(u.since) >= wait
}

// transaction returns the transaction that writes records if the store still lacks them, and the number of records in it.
func transaction(records []unrecorded) (pollenstore.Transaction, int, error) {
	var t pollenstore.Transaction
	for n, u := range records {
		entry, err := encodeRecord(u.record)
		if err != nil {
			return pollenstore.Transaction{}, 0, err
		}
		conditions := []pollenstore.Condition{{Key: entry.Key, Version: u.record.Revision}}
		if u.record.OrderRevision > 0 {
			// The record would otherwise replace the result of a rollout that has gone on meanwhile.
			conditions = append(conditions, pollenstore.Condition{Key: StatePrefix + u.record.Service, Version: u.stateRevision})
		}
		if len(t.Conditions)+len(conditions)+len(t.Puts)+1 > maxTransactionEntries {
			return t, n, nil
		}
		t.Conditions, t.Puts = append(t.Conditions, conditions...), append(t.Puts, entry)
	}
	return t, len(records), nil
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// NewRecorder returns a Recorder that has not written anything.
func NewRecorder(config RecorderConfig) *Recorder { return &Recorder{config: config} }

// Tick starts to write the records that are due by this instance, unless a write runs or was just made.
func (r *Recorder) Tick(ctx context.Context, now time.Time) {
	position, ok := pollencatalog.RankPosition(r.config.Table().Senders(), recorderKey, r.config.Instance)
	if !ok {
		return
	}
	var due []unrecorded
	for _, u := range r.config.Router.missingRecords() {
		if u.isDue(position, now) {
			due = append(due, u)
		}
	}
	if len(due) > 0 && r.begin(now) {
		go func() {
			r.write(ctx, due, now)
			r.end()
		}()
	}
}

// begin reports whether a write may start.
func (r *Recorder) begin(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.busy || now.Before(r.pausedUntil) {
		return false
	}
	r.busy, r.pausedUntil = true, now.Add(writePause)
	return true
}

func (r *Recorder) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.busy = false
}

// write writes records until a transaction fails. What was not written is due again after the pause, unless the table has it then.
func (r *Recorder) write(ctx context.Context, records []unrecorded, now time.Time) {
	for n, u := range records {
		// The clock of the instance that wrote the source may be ahead.
		records[n].record.At = later(now, u.record.At.Add(time.Millisecond))
	}
	for len(records) > 0 {
		t, count, err := transaction(records)
		if err == nil {
			_, err = r.config.Store.Commit(ctx, t)
		}
		var conflict *pollenstore.ConditionError
		switch {
		case errors.As(err, &conflict):
			klog.InfoS("Versions in force not recorded, as another instance has written", "services", count)
			return
		case err != nil:
			klog.ErrorS(err, "Versions in force not recorded", "services", count)
			return
		}
		for _, u := range records[:count] {
			klog.InfoS("Version in force recorded", "service", u.record.Service, "versions", u.record.Versions, "order", u.record.OrderRevision, "guessed", u.record.Guessed)
		}
		records = records[count:]
	}
}
