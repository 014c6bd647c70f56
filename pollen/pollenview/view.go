package pollenview

import (
	"reflect"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"pollenline.example/pollen/pollencatalog"
	"pollenline.example/pollen/pollenstore"
)

// Record is what one key of the store says; at most one of its pointers is set.
type Record struct {
	Configuration *pollencatalog.Configuration
	Server        *pollencatalog.Server
	Instance      *pollencatalog.Instance
	// EvacuatedZone names an availability zone whose servers are to get no requests.
	EvacuatedZone string
}

// Decoder reads keys of the store.
type Decoder interface {
	// Decode returns an empty record for keys that are of no concern, and an error for values that can't be read.
	Decode(entry pollenstore.Entry, now time.Time) (Record, error)
}

// Listed replaces the view by a listing of all keys.
type Listed struct {
	Listing pollenstore.Listing
}

// Changed applies events to the view.
type Changed struct {
	Changes pollenstore.Changes
}

// StoreLost reports that the store does not answer.
type StoreLost struct {
	Err error
}

// StoreRegained reports that the store answers again.
type StoreRegained struct{}

// Tick lets time-dependent state move on.
type Tick struct{}

// Config configures a View.
type Config struct {
	Decoder Decoder
	// Return is how long after an outage of the store keys may still be missing although their owners live.
	Return time.Duration
	// Memory is how long an instance that has left still counts in the shares of limits.
	Memory time.Duration
	// Published is called with each new table; it must not block.
	Published func(*pollencatalog.Table)
}

// View is the control state of one instance.
type View struct {
	config        Config
	table         atomic.Pointer[pollencatalog.Table]
	configuration *pollencatalog.Configuration
	keys          map[string]*known
	lost          bool
	regained      time.Time
	departed      map[string]time.Time
}

// known is a key that names a server, an instance or an evacuation.
type known struct {
	record Record
	// missing is set while the key is gone from the store but still held.
	missing bool
}

// New returns a view that knows nothing and has published an empty table.
func New(config Config) *View {
	v := &View{config: config, keys: make(map[string]*known), departed: make(map[string]time.Time)}
	v.table.Store(pollencatalog.NewTable(pollencatalog.TableConfig{}))
	return v
}

// Table returns the table that was published last; it may be called from any goroutine.
func (v *View) Table() *pollencatalog.Table { return v.table.Load() }

// Receive applies one message; the actor calls it.
func (v *View) Receive(message any) {
	now := time.Now()
	switch m := message.(type) {
	case Listed:
		v.list(m.Listing, now)
	case Changed:
		v.change(m.Changes, now)
	case StoreLost:
		v.lose(m.Err)
		return
	case StoreRegained:
		v.regain(now)
		return
	case Tick:
		if !v.expire(now) {
			return
		}
	}
	v.publish()
}

func (v *View) lose(err error) {
	if !v.lost {
		klog.ErrorS(err, "Store lost", "version", v.version())
	}
	v.lost = true
}

func (v *View) regain(now time.Time) {
	if v.lost {
		v.lost, v.regained = false, now
		klog.InfoS("Store regained", "version", v.version())
	}
}

func (v *View) list(listing pollenstore.Listing, now time.Time) {
	named := make(map[string]bool, len(listing.Entries))
	for _, entry := range listing.Entries {
		named[entry.Key] = true
		v.put(entry, now)
	}
	for key := range v.keys {
		if !named[key] {
			v.remove(key, now)
		}
	}
}

func (v *View) change(changes pollenstore.Changes, now time.Time) {
	for _, event := range changes.Events {
		if event.Deleted {
			v.remove(event.Entry.Key, now)
		} else {
			v.put(event.Entry, now)
		}
	}
}

func (v *View) put(entry pollenstore.Entry, now time.Time) {
	record, err := v.config.Decoder.Decode(entry, now)
	switch {
	case err != nil:
		klog.ErrorS(err, "Key is not readable", "key", entry.Key, "revision", entry.Version)
		delete(v.keys, entry.Key)
	case record.Configuration != nil:
		v.adopt(record.Configuration)
	case record == Record{}:
		delete(v.keys, entry.Key)
	default:
		if before, ok := v.keys[entry.Key]; !ok || !reflect.DeepEqual(before.record, record) {
			v.logRecord("Key written", entry.Key, entry.Version, record)
		}
		v.keys[entry.Key] = &known{record: record}
	}
}

func (v *View) adopt(configuration *pollencatalog.Configuration) {
	if configuration.Version <= v.version() {
		return
	}
	klog.InfoS("Configuration adopted", "version", configuration.Version, "before", v.version(), "routes", len(configuration.Routes))
	v.configuration = configuration
}

// remove drops a key at once, or holds it while owners may still write it again after an outage.
func (v *View) remove(key string, now time.Time) {
	k, ok := v.keys[key]
	if !ok {
		return
	}
	if k.record.EvacuatedZone == "" && v.returning(now) {
		k.missing = true
		return
	}
	v.drop(key, now)
}

func (v *View) drop(key string, now time.Time) {
	k := v.keys[key]
	if k.record.Instance != nil {
		v.departed[k.record.Instance.Name] = now
	}
	v.logRecord("Key gone", key, 0, k.record)
	delete(v.keys, key)
}

func (v *View) returning(now time.Time) bool {
	return v.lost || (!v.regained.IsZero() && now.Before(v.regained.Add(v.config.Return)))
}

// expire drops held keys and forgets instances that left long ago, and reports whether anything changed.
func (v *View) expire(now time.Time) bool {
	changed := false
	if !v.returning(now) {
		for key, k := range v.keys {
			if k.missing {
				v.drop(key, now)
				changed = true
			}
		}
	}
	for name, left := range v.departed {
		if now.Sub(left) > v.config.Memory {
			delete(v.departed, name)
			changed = true
		}
	}
	return changed
}

func (v *View) publish() {
	config := pollencatalog.TableConfig{Configuration: v.configuration, Evacuated: make(map[string]bool)}
	for _, k := range v.keys {
		switch {
		case k.record.Server != nil:
			config.Servers = append(config.Servers, k.record.Server)
		case k.record.Instance != nil:
			config.Instances = append(config.Instances, *k.record.Instance)
			delete(v.departed, k.record.Instance.Name)
		case k.record.EvacuatedZone != "":
			config.Evacuated[k.record.EvacuatedZone] = true
		}
	}
	config.Departed = len(v.departed)
	table := pollencatalog.NewTable(config)
	v.table.Store(table)
	if v.config.Published != nil {
		v.config.Published(table)
	}
}

func (v *View) version() uint64 {
	if v.configuration == nil {
		return 0
	}
	return v.configuration.Version
}

func (v *View) logRecord(message, key string, revision uint64, record Record) {
	switch {
	case record.Server != nil:
		s := record.Server
		klog.InfoS(message, "key", key, "revision", revision, "service", s.Service, "zone", s.Zone, "leaving", s.Leaving, "coldUntil", s.ColdUntil)
	case record.Instance != nil:
		klog.InfoS(message, "key", key, "revision", revision, "incarnation", record.Instance.Incarnation, "ready", record.Instance.Ready)
	default:
		klog.InfoS(message, "key", key, "revision", revision, "evacuatedZone", record.EvacuatedZone)
	}
}
