package pollenview

import (
	"time"

	"k8s.io/klog/v2"

	"pollenline.example/pollen/pollenstore"
)

// restoreState is what the view knows of a store that came back from a copy of itself.
type restoreState struct {
	position pollenstore.Position
	// at is when the view read the first listing after the restore; zero if there was none.
	at time.Time
	// deletions holds the servers and instances whose keys were deleted, by key.
	deletions map[string]deletion
}

// deletion is a deleted key as it was before.
type deletion struct {
	record Record
	at     time.Time
}

// maxCopyAge bounds the age of the copies from which a store comes back.
const maxCopyAge = time.Minute

func newRestoreState() restoreState { return restoreState{deletions: make(map[string]deletion)} }

// notice records the position of a listing and reports whether the store came back from a copy before it.
func (r *restoreState) notice(listed pollenstore.Position, now time.Time) bool {
	restored := listed.LaterEra(r.position)
	if restored {
		r.at = now
	}
	r.position = r.position.Advance(listed)
	return restored
}

func (r *restoreState) recordDeletion(key string, record Record, now time.Time) {
	r.deletions[key] = deletion{record: record, at: now}
}

func (r *restoreState) forgetDeletions(now time.Time) {
	for key, d := range r.deletions {
		if now.Sub(d.at) >= maxCopyAge {
			delete(r.deletions, key)
		}
	}
}

// inRestoreGracePeriod reports whether the store came back from a copy less than GracePeriod ago.
func (v *View) inRestoreGracePeriod(now time.Time) bool {
	return !v.restore.at.IsZero() && now.Before(v.restore.at.Add(v.config.GracePeriod))
}

// putListedKey applies an entry of a listing, unless the store came back from a copy and the entry says less than the view
// knows: a server was draining or gone later than the copy, or an instance was gone. Their owners write again what they wrote
// since, so that the entry counts if it is still there at the end of the grace period.
func (v *View) putListedKey(entry pollenstore.Entry, now time.Time) {
	record, err := v.config.Decoder.Decode(entry, now)
	if err != nil || !v.inRestoreGracePeriod(now) || !v.supersedes(entry.Key, record) {
		v.putRecord(entry, record, err)
		return
	}
	klog.InfoS("Key of the store's copy is out of date", "key", entry.Key, "revision", entry.Version)
	k, ok := v.keys[entry.Key]
	if !ok {
		k = &keyState{}
		v.keys[entry.Key] = k
	}
	k.missing, k.restored = false, &record
}

// supersedes reports whether the view knows of a later state of a server or an instance than the store's copy.
func (v *View) supersedes(key string, copied Record) bool {
	if k, ok := v.keys[key]; ok && k.record != (Record{}) {
		known := k.record.Server
		return known != nil && known.Draining && copied.Server != nil && !copied.Server.Draining && known.Incarnation() == copied.Server.Incarnation()
	}
	d, ok := v.restore.deletions[key]
	switch {
	case !ok:
		return false
	case copied.Server != nil && d.record.Server != nil:
		return copied.Server.Incarnation() == d.record.Server.Incarnation()
	case copied.Instance != nil && d.record.Instance != nil:
		return copied.Instance.Incarnation == d.record.Instance.Incarnation
	}
	return false
}
