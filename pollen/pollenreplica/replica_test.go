package pollenreplica

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"pollenline.example/pollen/pollenstore"
)

// put returns the event of a key that was set at a store revision.
func put(key, value string, version uint64) pollenstore.Event {
	return pollenstore.Event{Entry: pollenstore.Entry{Key: key, Value: []byte(value), Version: version}}
}

// TestOlderStateIsIgnored guards against a delayed listing or change that reverts a replica to an older revision.
func TestOlderStateIsIgnored(t *testing.T) {
	c := qt.New(t)
	r := New()
	r.Apply(pollenstore.Changes{Events: []pollenstore.Event{put("a", "new", 5)}, Revision: 6})
	c.Check(r.Reset(pollenstore.Listing{Entries: []pollenstore.Entry{put("a", "old", 3).Entry}, Revision: 4}), qt.IsFalse)
	c.Check(r.Apply(pollenstore.Changes{Events: []pollenstore.Event{put("a", "old", 3)}, Revision: 4}), qt.HasLen, 0)
	c.Check(string(r.Get("a").Value), qt.Equals, "new")
	c.Check(r.Revision(), qt.Equals, uint64(6))
}

// TestWatchReturnsOnChangeOrTimeout guards against watches that miss a change or never time out.
func TestWatchReturnsOnChangeOrTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		r := New()
		go func() {
			time.Sleep(time.Second)
			r.Apply(pollenstore.Changes{Events: []pollenstore.Event{put("a", "x", 1)}, Revision: 1})
		}()
		changes, err := r.Watch(context.Background(), 0, time.Minute)
		c.Assert(err, qt.IsNil)
		c.Check(changes.Events, qt.HasLen, 1)
		changes, err = r.Watch(context.Background(), 1, time.Minute)
		c.Assert(err, qt.IsNil)
		c.Check(changes.Events, qt.HasLen, 0)
	})
}

// TestWatchAfterCompactedRevisionFails guards against a watch that silently skips changes which were dropped.
func TestWatchAfterCompactedRevisionFails(t *testing.T) {
	r := New()
	r.Reset(pollenstore.Listing{Revision: 10})
	_, err := r.Watch(context.Background(), 3, time.Second)
	var compacted *pollenstore.CompactedError
	qt.Assert(t, err, qt.ErrorAs, &compacted)
}
