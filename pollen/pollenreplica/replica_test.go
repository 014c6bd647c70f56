package pollenreplica

import (
	"context"
	"slices"
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
		changes, err := r.Watch(context.Background(), pollenstore.Position{}, time.Minute)
		c.Assert(err, qt.IsNil)
		c.Check(changes.Events, qt.HasLen, 1)
		changes, err = r.Watch(context.Background(), pollenstore.Position{Revision: 1}, time.Minute)
		c.Assert(err, qt.IsNil)
		c.Check(changes.Events, qt.HasLen, 0)
	})
}

// Guards against followers that get large values which were replaced before they asked, and against lost changes.
func TestWatchSkipsReplacedValues(t *testing.T) {
	deleted := func(key string, version uint64) pollenstore.Event {
		return pollenstore.Event{Entry: pollenstore.Entry{Key: key, Version: version}, Deleted: true}
	}
	tests := []struct {
		name   string
		events []pollenstore.Event
		want   []pollenstore.Event
	}{
		{"replaced", []pollenstore.Event{put("a", "1", 2), put("a", "2", 3)}, []pollenstore.Event{put("a", "2", 3)}},
		{"other keys stay in order", []pollenstore.Event{put("a", "1", 2), put("b", "1", 3), put("a", "2", 4)}, []pollenstore.Event{put("b", "1", 3), put("a", "2", 4)}},
		{"written in one step", []pollenstore.Event{put("a", "1", 2), put("b", "1", 2), put("b", "2", 3)}, []pollenstore.Event{put("a", "1", 2), put("b", "2", 3)}},
		{
			"deleted between", []pollenstore.Event{put("a", "1", 2), deleted("a", 3), put("a", "2", 4), put("a", "3", 5)},
			[]pollenstore.Event{put("a", "1", 2), deleted("a", 3), put("a", "3", 5)},
		},
		{"listed before", []pollenstore.Event{put("listed", "2", 2)}, []pollenstore.Event{put("listed", "2", 2)}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			r := New()
			r.Reset(pollenstore.Listing{Revision: 1, Entries: []pollenstore.Entry{put("listed", "1", 1).Entry}})
			for _, event := range test.events {
				r.Apply(pollenstore.Changes{Revision: event.Entry.Version, Events: slices.DeleteFunc(slices.Clone(test.events), func(e pollenstore.Event) bool {
					return e.Entry.Version != event.Entry.Version
				})})
			}
			changes, err := r.Watch(t.Context(), pollenstore.Position{Revision: 1}, 0)
			c.Assert(err, qt.IsNil)
			c.Assert(changes.Events, qt.DeepEquals, test.want)
			c.Assert(changes.Revision, qt.Equals, test.events[len(test.events)-1].Entry.Version)
		})
	}
}

// TestWatchAfterCompactedRevisionFails guards against a watch that silently skips changes which were dropped.
func TestWatchAfterCompactedRevisionFails(t *testing.T) {
	r := New()
	r.Reset(pollenstore.Listing{Revision: 10})
	_, err := r.Watch(context.Background(), pollenstore.Position{Revision: 3}, time.Second)
	var compacted *pollenstore.CompactedError
	qt.Assert(t, err, qt.ErrorAs, &compacted)
}

// Guards against a replica that keeps what a restored store has lost, or mixes changes of two eras.
func TestRestoredStoreReplacesReplica(t *testing.T) {
	lost, kept, again := put("a", "lost", 76), put("b", "kept", 75), put("a", "again", 76)
	tests := []struct {
		name   string
		listed pollenstore.Listing
		reset  bool
		after  pollenstore.Changes
		want   map[string]string
		// gone is set if a watch from the position before must fail.
		gone bool
	}{
		{
			"later era", pollenstore.Listing{Entries: []pollenstore.Entry{kept.Entry}, Revision: 75, Era: 2}, true,
			pollenstore.Changes{Events: []pollenstore.Event{again}, Revision: 76, Era: 2}, map[string]string{"a": "again", "b": "kept"}, true,
		},
		{
			"era not stated", pollenstore.Listing{Revision: 90}, true,
			pollenstore.Changes{Events: []pollenstore.Event{put("c", "new", 91)}, Revision: 91, Era: 1}, map[string]string{"c": "new"}, true,
		},
		{
			"changes of a later era without a listing", pollenstore.Listing{Revision: 76, Era: 1}, false,
			pollenstore.Changes{Events: []pollenstore.Event{put("c", "new", 77)}, Revision: 77, Era: 2}, map[string]string{"a": "lost", "b": "kept"}, false,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			r := New()
			r.Reset(pollenstore.Listing{Entries: []pollenstore.Entry{lost.Entry, kept.Entry}, Revision: 76, Era: 1})
			c.Assert(r.Reset(test.listed), qt.Equals, test.reset)
			r.Apply(test.after)
			got := make(map[string]string)
			for _, entry := range r.List("").Entries {
				got[entry.Key] = string(entry.Value)
			}
			c.Assert(got, qt.DeepEquals, test.want)
			_, err := r.Watch(t.Context(), pollenstore.Position{Era: 1, Revision: 76}, 0)
			c.Assert(pollenstore.HistoryGone(err), qt.Equals, test.gone)
		})
	}
}

// Guards against a watch that goes on waiting for a revision of an era that is over.
func TestWatchEndsWhenStoreIsRestored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := New()
		r.Reset(pollenstore.Listing{Revision: 76, Era: 1})
		go func() {
			time.Sleep(time.Second)
			r.Reset(pollenstore.Listing{Revision: 75, Era: 2})
		}()
		start := time.Now()
		_, err := r.Watch(t.Context(), pollenstore.Position{Era: 1, Revision: 76}, time.Minute)
		qt.Assert(t, err, qt.ErrorAs, new(*pollenstore.RestoredError))
		qt.Assert(t, time.Since(start), qt.Equals, time.Second)
	})
}
