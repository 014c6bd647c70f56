package pollenrollout

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollenline.example/pollen/pollencatalog"
	"pollenline.example/pollen/pollenstore"
)

// TestVersionInForceIsNotGuessed guards against a version that takes the place of the one in force because of what is listed at a moment,
// and against an instance that follows an older copy of the store instead of what it knows.
func TestVersionInForceIsNotGuessed(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	listed := func(versions ...string) []*pollencatalog.Server {
		var servers []*pollencatalog.Server
		for i, version := range versions {
			servers = append(servers, &pollencatalog.Server{Version: version, StartedAt: at(i)})
		}
		return servers
	}
	record := func(version string, order uint64, s int) *pollencatalog.VersionRecord {
		return &pollencatalog.VersionRecord{Versions: []string{version}, OrderRevision: order, At: at(s)}
	}
	guess := &pollencatalog.VersionRecord{Versions: []string{"v2"}, Guessed: true, At: at(5)}
	state := func(name string, order uint64, s int, former ...string) *pollencatalog.RolloutState {
		return &pollencatalog.RolloutState{OrderRevision: order, Target: "v2", Former: former, State: name, Entered: at(s)}
	}
	order := func(revision uint64, target string) *pollencatalog.RolloutOrder {
		return &pollencatalog.RolloutOrder{Target: target, Revision: revision}
	}
	learned := knowledge{versions: []string{"v1"}, era: 1}
	stored := knowledge{versions: []string{"v1"}, at: at(5), era: 1}
	completed := knowledge{versions: []string{"v2"}, orderRevision: 20, at: at(40), era: 1}
	tests := []struct {
		name  string
		known knowledge
		facts versionFacts
		want  []string
	}{
		{"first start", knowledge{}, versionFacts{servers: listed("v1")}, []string{"v1"}},
		{"first start, several versions", knowledge{}, versionFacts{servers: listed("v1", "v2")}, []string{"v1"}},
		{"nothing listed", knowledge{}, versionFacts{}, nil},
		{"all servers crash", stored, versionFacts{era: 1, record: record("v1", 0, 5), servers: listed("v2")}, []string{"v1"}},
		{"all servers crash before the record", learned, versionFacts{era: 1, servers: listed("v2")}, []string{"v1"}},
		{"all servers crash under an order", stored, versionFacts{era: 1, record: record("v1", 0, 5), order: order(9, "v2"), servers: listed("v2")}, []string{"v1"}},
		{"all servers of a completed version crash", completed, versionFacts{era: 1, state: state(stateCompleted, 20, 40), servers: listed("v1", "v3")}, []string{"v2"}},
		{"restart in a release", knowledge{}, versionFacts{record: record("v1", 0, 5), servers: listed("v2", "v1")}, []string{"v1"}},
		{"restart, servers down", knowledge{}, versionFacts{record: record("v1", 0, 5), servers: listed("v2")}, []string{"v1"}},
		{"restart after a rollout", knowledge{}, versionFacts{record: record("v1", 0, 5), state: state(stateCompleted, 20, 40), servers: listed("v1", "v2")}, []string{"v2"}},
		{"restart in a rollout", knowledge{}, versionFacts{record: record("v0", 0, 5), state: state(stateCanary, 20, 30, "v1"), servers: listed("v2", "v1")}, []string{"v1"}},
		{"restart, learned late", knowledge{}, versionFacts{record: record("v0", 0, 35), state: state(stateCanary, 20, 30, "v1"), servers: listed("v0", "v1")}, []string{"v1"}},
		{"restart, nothing stored, order", knowledge{}, versionFacts{order: order(9, "v2"), servers: listed("v2", "v1")}, []string{"v1"}},
		{"two learn at once", learned, versionFacts{era: 1, record: record("v2", 0, 5), servers: listed("v1", "v2")}, []string{"v2"}},
		{"order names a third version", stored, versionFacts{era: 1, record: record("v1", 0, 5), order: order(9, "v3"), servers: listed("v2", "v3", "v1")}, []string{"v1"}},
		{"order names a third version, servers down", stored, versionFacts{era: 1, record: record("v1", 0, 5), order: order(9, "v3"), servers: listed("v2", "v3")}, []string{"v1"}},
		{"order names a guess", knowledge{versions: []string{"v2"}, guessed: true, at: at(5), era: 1}, versionFacts{era: 1, record: guess, order: order(9, "v2"), servers: listed("v2", "v1")}, []string{"v1"}},
		{"order names a guess, servers down", knowledge{}, versionFacts{record: guess, order: order(9, "v2"), servers: listed("v2")}, nil},
		{"rollout to a guess", knowledge{}, versionFacts{record: guess, order: order(9, "v2"), state: state(stateCanary, 9, 10), servers: listed("v2")}, nil},
		{"order names another version than a guess", knowledge{}, versionFacts{record: guess, order: order(9, "v3"), servers: listed("v1", "v2", "v3")}, []string{"v2"}},
		{"store knows nothing any more", stored, versionFacts{era: 2, servers: listed("v2")}, []string{"v1"}},
		{"copy from before the rollout", completed, versionFacts{era: 2, record: record("v1", 0, 5), servers: listed("v2")}, []string{"v2"}},
		{"copy from before the end of the rollout", completed, versionFacts{era: 2, record: record("v1", 0, 5), order: order(20, "v2"), state: state(stateCanary, 20, 30, "v1"), servers: listed("v1", "v2")}, []string{"v2"}},
		{"copy of a former rollout", completed, versionFacts{era: 2, order: order(10, "v2"), state: state(stateRolledBack, 10, 20, "v1"), servers: listed("v1", "v2")}, []string{"v2"}},
		{"copy that lacks nothing", completed, versionFacts{era: 2, order: order(20, "v2"), state: state(stateCompleted, 20, 40), servers: listed("v2")}, []string{"v2"}},
		{"restart after a restore, record written again", knowledge{}, versionFacts{era: 2, record: record("v2", 20, 60), order: order(20, "v2"), state: state(stateCanary, 20, 30, "v1"), servers: listed("v2")}, []string{"v2"}},
		{"rollout after a restore", completed, versionFacts{era: 2, order: order(15, "v1"), state: &pollencatalog.RolloutState{OrderRevision: 15, Target: "v1", State: stateCompleted, Entered: at(90)}}, []string{"v1"}},
		{"rollout by a driver whose clock is behind", completed, versionFacts{era: 1, order: order(30, "v1"), state: &pollencatalog.RolloutState{OrderRevision: 30, Target: "v1", State: stateCompleted, Entered: at(35)}}, []string{"v1"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			next := test.known.next(test.facts)
			qt.Assert(t, next.versions, qt.DeepEquals, test.want)
			qt.Assert(t, next.next(test.facts).versions, qt.DeepEquals, test.want, qt.Commentf("with the same facts again"))
		})
	}
}

// TestRetainedKeysAreNotTheCopy guards against an instance that follows an older copy of the store once the view no longer retains the keys
// that the copy lacks.
func TestRetainedKeysAreNotTheCopy(t *testing.T) {
	c := qt.New(t)
	state := &pollencatalog.RolloutState{OrderRevision: 20, Target: "v2", State: stateCompleted, Entered: time.Unix(1040, 0)}
	record := &pollencatalog.VersionRecord{Versions: []string{"v1"}, At: time.Unix(1005, 0)}
	var k knowledge
	for _, facts := range []versionFacts{{era: 1, record: record, state: state}, {era: 2, record: record, state: state}, {era: 2, record: record}} {
		k = k.next(facts)
		c.Assert(k.versions, qt.DeepEquals, []string{"v2"}, qt.Commentf("%+v", facts))
	}
}

// TestRulingMovesTrafficAtOnce guards against an instance that sends to the former servers, which end at the completion, until its table has
// the state.
func TestRulingMovesTrafficAtOnce(t *testing.T) {
	c := qt.New(t)
	f := startFleet(1, bad(0, 0, always), 5*time.Second)
	state := f.store.state
	state.State, state.Step, state.Share = stateCompleted, state.Step+1, 1
	n := f.instances[1]
	n.router.Follow(Ruling{Service: testService, State: &state}, f.now)
	c.Assert(versionsOf(f, 1, Any), qt.DeepEquals, map[string]bool{"v2": true})
	f.publishTo(n, "v1", "v2")
	c.Assert(versionsOf(f, 1, Any), qt.DeepEquals, map[string]bool{"v2": true}, qt.Commentf("with a table that has the step before"))
}

// versionsEverywhere fails the test unless all instances admit just the servers of one version; "" stands for none.
func versionsEverywhere(c *qt.C, f *fleet, version string) {
	want := make(map[string]bool)
	if version != "" {
		want[version] = true
	}
	for n := range f.instances {
		c.Assert(versionsOf(f, n, Any), qt.DeepEquals, want, qt.Commentf("instance %d", n))
	}
}

// TestOrderAfterCrashHasCanary guards against a version that gets all traffic while all servers of the one in force are down, and whose
// order is then completed without a canary.
func TestOrderAfterCrashHasCanary(t *testing.T) {
	c := qt.New(t)
	f := newFleet(1, 3, 40, bad(0.5, 0, always))
	f.run(f.start.Add(5*time.Second), "v1", "v2")
	f.run(f.now.Add(4*time.Second), "v2")
	versionsEverywhere(c, f, "")
	f.run(f.now.Add(2*time.Second), "v1", "v2")
	versionsEverywhere(c, f, "v1")
	f.total = 0
	f.command("v2", testDuration)
	f.run(f.now.Add(testDuration), "v1", "v2")
	c.Assert(f.store.state.State, qt.Equals, stateRolledBack, qt.Commentf("%s", f.store.state.Cause))
	c.Assert(float64(f.exposure) <= 0.1*float64(f.total)+50, qt.IsTrue, qt.Commentf("%d of %d", f.exposure, f.total))
}

// TestRestartedInstancesFollowRecord guards against instances that start in the midst of a release without an order and take the version
// whose servers started first, and against a record that is written more than once.
func TestRestartedInstancesFollowRecord(t *testing.T) {
	for _, restarted := range []int{1, 3} {
		t.Run(fmt.Sprint(restarted), func(t *testing.T) {
			c := qt.New(t)
			f := newFleet(1, 3, 40, bad(0.5, 0, always))
			f.run(f.start.Add(20*time.Second), "v1")
			c.Assert(f.store.commits, qt.Equals, 1)
			f.run(f.now.Add(2*time.Second), "v2", "v1")
			for n := range restarted {
				f.restart(n)
			}
			f.run(f.now.Add(2*time.Second), "v2", "v1")
			versionsEverywhere(c, f, "v1")
			f.total = 0
			f.command("v2", testDuration)
			f.run(f.now.Add(testDuration), "v2", "v1")
			c.Assert(f.store.state.State, qt.Equals, stateRolledBack, qt.Commentf("%s", f.store.state.Cause))
			c.Assert(float64(f.exposure) <= 0.1*float64(f.total)+50, qt.IsTrue, qt.Commentf("%d of %d", f.exposure, f.total))
			c.Assert(f.store.commits, qt.Equals, 1)
		})
	}
}

// TestRestoredStoreLearnsVersion guards against instances that return to the former version, whose servers have ended, when the store comes
// back from a copy of before the rollout, and against one that starts then and follows the copy.
func TestRestoredStoreLearnsVersion(t *testing.T) {
	tests := []struct {
		name string
		// copyAt is when the copy was made; the order is given at 10 s and lasts 30 s.
		copyAt time.Duration
	}{
		{"from before the record", time.Second},
		{"from before the order", 8 * time.Second},
		{"from before the end", 25 * time.Second},
		{"from after the end", 45 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			f := newFleet(1, 3, 40, bad(0, 0, always))
			var copied func()
			copyIfDue := func(until time.Duration) {
				if copied == nil && test.copyAt <= until {
					f.run(f.start.Add(test.copyAt), "v1", "v2")
					copied = f.copyStore()
				}
				f.run(f.start.Add(until), "v1", "v2")
			}
			copyIfDue(10 * time.Second)
			f.command("v2", testDuration)
			copyIfDue(50 * time.Second)
			c.Assert(f.store.state.State, qt.Equals, stateCompleted)
			f.run(f.now.Add(time.Second), "v2")
			copied()
			f.run(f.now.Add(10*time.Second), "v2")
			versionsEverywhere(c, f, "v2")
			f.restart(0)
			f.run(f.now.Add(2*time.Second), "v2")
			versionsEverywhere(c, f, "v2")
			f.run(f.now.Add(testDuration), "v2")
			versionsEverywhere(c, f, "v2")
			f.command("v3", testDuration)
			f.run(f.now.Add(testDuration+time.Second), "v2", "v3")
			c.Assert(f.store.state.State, qt.Equals, stateCompleted, qt.Commentf("%s", f.store.state.Cause))
			versionsEverywhere(c, f, "v3")
		})
	}
}

// TestRecordsTakeTurns guards against instances that all write at once, against a guess that is written before an instance that knows the
// version could, and against a version that nobody records because the first instance is of a former build.
func TestRecordsTakeTurns(t *testing.T) {
	since := time.Unix(1000, 0)
	tests := []struct {
		position int
		guessed  bool
		after    time.Duration
		want     bool
	}{
		{0, false, settleTime - time.Millisecond, false},
		{0, false, settleTime, true},
		{1, false, settleTime, false},
		{1, false, settleTime + turnTime, true},
		{0, true, settleTime + turnTime, false},
		{0, true, settleTime + guessTime, true},
	}
	for _, test := range tests {
		u := unrecorded{record: pollencatalog.VersionRecord{Guessed: test.guessed}, since: since}
		qt.Check(t, u.isDue(test.position, since.Add(test.after)), qt.Equals, test.want, qt.Commentf("%+v", test))
	}
}

// TestTransactionsKeepToLimit guards against a transaction that the store refuses as too large, and against a record that replaces the
// result of a rollout that has gone on.
func TestTransactionsKeepToLimit(t *testing.T) {
	c := qt.New(t)
	var records []unrecorded
	for n := range 40 {
		records = append(records, unrecorded{record: pollencatalog.VersionRecord{Service: fmt.Sprint(n), Versions: []string{"v1"}, Revision: 3}, stateRevision: 4})
	}
	transactions := 0
	for ; len(records) > 0; transactions++ {
		tx, count, err := transaction(records)
		c.Assert(err, qt.IsNil)
		c.Assert(count > 0 && len(tx.Conditions)+len(tx.Puts) <= maxTransactionEntries, qt.IsTrue)
		c.Assert(tx.Conditions[0], qt.Equals, pollenstore.Condition{Key: RecordPrefix + records[0].record.Service, Version: 3})
		records = records[count:]
	}
	c.Assert(transactions, qt.Equals, 3)
	tx, _, err := transaction([]unrecorded{{record: pollencatalog.VersionRecord{Service: "x", Versions: []string{"v1"}, OrderRevision: 7}, stateRevision: 4}})
	c.Assert(err, qt.IsNil)
	c.Assert(tx.Conditions, qt.DeepEquals, []pollenstore.Condition{{Key: RecordPrefix + "x"}, {Key: StatePrefix + "x", Version: 4}})
}

// TestFailedRecordIsTriedLater guards against calls of the store in each tick while it fails or while the table does not show a write yet.
func TestFailedRecordIsTriedLater(t *testing.T) {
	for _, failure := range []error{nil, errors.New("no answer"), &pollenstore.ConditionError{}} {
		c := qt.New(t)
		f := newFleet(1, 1, 0, nil)
		commits := make(chan pollenstore.Transaction, 100)
		n := f.instances[0]
		r := NewRecorder(RecorderConfig{Router: n.router, Instance: "entry-0", Table: func() *pollencatalog.Table { return n.table },
			Store: committerFunc(func(tx pollenstore.Transaction) (uint64, error) { commits <- tx; return 1, failure })})
		for tick := range 40 {
			r.Tick(context.Background(), f.now.Add(time.Duration(tick)*ReportInterval))
			for r.isBusy() {
				time.Sleep(time.Millisecond)
			}
		}
		c.Assert(commits, qt.HasLen, 2, qt.Commentf("%v", failure))
		c.Assert(DecodeRecord((<-commits).Puts[0]).Versions, qt.DeepEquals, []string{"v1"})
	}
}

// committerFunc implements Committer.
type committerFunc func(pollenstore.Transaction) (uint64, error)

func (f committerFunc) Commit(_ context.Context, t pollenstore.Transaction) (uint64, error) {
	return f(t)
}

func (r *Recorder) isBusy() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.busy
}

// TestUnreadableRecordIsReplaced guards against a record that is never written again because its revision is not known.
func TestUnreadableRecordIsReplaced(t *testing.T) {
	c := qt.New(t)
	record := DecodeRecord(pollenstore.Entry{Key: RecordPrefix + "x", Value: []byte(`{"Versions":5}`), Version: 9})
	c.Assert(record, qt.DeepEquals, &pollencatalog.VersionRecord{Service: "x", Revision: 9})
}
