package pollenview

import (
	"maps"
	"reflect"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"pollenline.example/pollen/pollencatalog"
	"pollenline.example/pollen/pollenstore"
)

// Record is the decoded content of one key of the store; at most one of its fields is set.
type Record struct {
	Configuration *pollencatalog.Configuration
	Server        *pollencatalog.Server
	Instance      *pollencatalog.Instance
	// EvacuatedZone is an availability zone whose servers must get no requests.
	EvacuatedZone string
	RolloutOrder  *pollencatalog.RolloutOrder
	RolloutState  *pollencatalog.RolloutState
	VersionRecord *pollencatalog.VersionRecord
}

// Decoder decodes keys of the store.
type Decoder interface {
	// Decode returns an empty record for keys that the view doesn't use, and an error for values that are not valid.
	Decode(entry pollenstore.Entry, now time.Time) (Record, error)
}

// StoreListed is the message that replaces the view's keys by a listing of all keys.
type StoreListed struct {
	Listing pollenstore.Listing
	// StoreErr is the failure of the store if the listing is from another instance, else nil.
	StoreErr error
}

// StoreChanged is the message that applies events to the view's keys.
type StoreChanged struct {
	Changes pollenstore.Changes
}

// StoreUnavailable is the message that reports a failed call of the store.
type StoreUnavailable struct {
	Err error
}

// StoreRecovered is the message that reports the first answer of the store after failed calls.
type StoreRecovered struct{}

// Tick is the message that makes the view delete missing keys and departed instances whose retention is over.
type Tick struct{}

// Config holds the parameters of a View.
type Config struct {
	Decoder Decoder
	// GracePeriod is how long after an outage of the store the view retains missing keys: their owners may be alive and
	// write them again.
	GracePeriod time.Duration
	// DepartedRetention is how long an instance that has left still counts when limits are divided.
	DepartedRetention time.Duration
	// BeforePublish is called with each new table before Table returns it and must not block; it may be nil.
	BeforePublish func(*pollencatalog.Table)
	// OnPublish is called with each new table and must not block; it may be nil.
	OnPublish func(*pollencatalog.Table)
}

// View holds the keys of the store as one instance has read them, and the table that it built from them.
type View struct {
	config Config
	table  atomic.Pointer[pollencatalog.Table]
	// configuration is the newest one that was read; it remains in force if its key is deleted.
	configuration *pollencatalog.Configuration
	// keys holds the state of all other keys that the view uses.
	keys map[string]*keyState
	// unreadable holds the reasons why keys can't be read, unreadableCount their number as of the newest table.
	unreadable       map[string]string
	unreadableCount  atomic.Int32
	storeUnavailable bool
	// recoveredAt is the end of the last outage of the store; zero if there was none.
	recoveredAt time.Time
	// departedAt holds when each instance left, by name.
	departedAt map[string]time.Time
	restore    restoreState
}

// keyState is the state of a key that names a server, an instance, an evacuated zone or a rollout.
type keyState struct {
	record Record
	// missing is set while the store no longer has the key and the view retains it.
	missing bool
	// restored is what a store that came back from a copy has for the key, if the view knows better; nil if not.
	restored *Record
}

// New returns a view without keys, whose table is empty.
func New(config Config) *View {
	v := &View{config: config, keys: make(map[string]*keyState), unreadable: make(map[string]string), departedAt: make(map[string]time.Time), restore: newRestoreState()}
	v.table.Store(pollencatalog.NewTable(pollencatalog.TableConfig{}))
	return v
}

// UnreadableKeys returns the number of keys of the latest table's store that can't be read; it may be called from any goroutine.
func (v *View) UnreadableKeys() int { return int(v.unreadableCount.Load()) }

// Table returns the latest table; it may be called from any goroutine.
func (v *View) Table() *pollencatalog.Table { return v.table.Load() }

// Receive handles one message; only the actor calls it.
func (v *View) Receive(message any) {
	now := time.Now()
	switch m := message.(type) {
	case StoreListed:
		v.replaceKeys(m.Listing, now)
		if m.StoreErr != nil {
			v.markUnavailable(m.StoreErr)
		}
	case StoreChanged:
		v.applyChanges(m.Changes, now)
	case StoreUnavailable:
		v.markUnavailable(m.Err)
		return
	case StoreRecovered:
		v.markRecovered(now)
		return
	case Tick:
		if !v.expireKeys(now) {
			return
		}
	}
	v.publishTable()
}

func (v *View) markUnavailable(err error) {
	if !v.storeUnavailable {
		klog.ErrorS(err, "Store lost", "version", v.configurationVersion())
	}
	v.storeUnavailable = true
}

func (v *View) markRecovered(now time.Time) {
	if v.storeUnavailable {
		v.storeUnavailable, v.recoveredAt = false, now
		klog.InfoS("Store regained", "version", v.configurationVersion())
	}
}

func (v *View) replaceKeys(listing pollenstore.Listing, now time.Time) {
	if v.restore.notice(listing.Position(), now) {
		klog.InfoS("Store came back from a copy", "revision", listing.Revision, "era", listing.Era, "version", v.configurationVersion())
	}
	listed := make(map[string]bool, len(listing.Entries))
	for _, entry := range listing.Entries {
		listed[entry.Key] = true
		v.putListedKey(entry, now)
	}
	maps.DeleteFunc(v.unreadable, func(key, _ string) bool { return !listed[key] })
	for key, k := range v.keys {
		switch {
		case listed[key]:
		case v.inRestoreGracePeriod(now):
			k.missing = true
		default:
			v.removeKey(key, now)
		}
	}
}

func (v *View) applyChanges(changes pollenstore.Changes, now time.Time) {
	for _, event := range changes.Events {
		if event.Deleted {
			v.removeKey(event.Entry.Key, now)
		} else {
			v.putKey(event.Entry, now)
		}
	}
}

func (v *View) putKey(entry pollenstore.Entry, now time.Time) {
	record, err := v.config.Decoder.Decode(entry, now)
	v.putRecord(entry, record, err)
}

// putRecord applies an entry that was decoded into a record, or not because of err.
func (v *View) putRecord(entry pollenstore.Entry, record Record, err error) {
	if err == nil {
		delete(v.unreadable, entry.Key)
	}
	switch {
	case err != nil:
		// Each listing has the key again.
		if reason := err.Error(); v.unreadable[entry.Key] != reason {
			klog.ErrorS(err, "Key is not readable", "key", entry.Key, "revision", entry.Version)
			v.unreadable[entry.Key] = reason
		}
		delete(v.keys, entry.Key)
	case record.Configuration != nil:
		v.adoptConfiguration(record.Configuration, len(entry.Value))
	case record == Record{}:
		delete(v.keys, entry.Key)
	default:
		if before, ok := v.keys[entry.Key]; !ok || !reflect.DeepEqual(before.record, record) {
			v.logRecord("Key written", entry.Key, entry.Version, record)
		}
		v.keys[entry.Key] = &keyState{record: record}
	}
}

// adoptConfiguration replaces the configuration by a newer version and ignores older ones; bytes is the size of its encoding.
func (v *View) adoptConfiguration(configuration *pollencatalog.Configuration, bytes int) {
	if configuration.Version <= v.configurationVersion() {
		return
	}
	klog.InfoS("Configuration adopted", "version", configuration.Version, "before", v.configurationVersion(), "routes", len(configuration.Routes), "bytes", bytes)
	for _, problem := range configuration.Problems {
		klog.ErrorS(problem, "Configuration is not followed in one point", "version", configuration.Version)
	}
	v.configuration = configuration
}

// removeKey deletes a key, or marks it missing while its owner may still write it again after an outage. The key of an
// evacuated zone is always deleted, as an operator writes it and its deletion ends the evacuation.
func (v *View) removeKey(key string, now time.Time) {
	delete(v.unreadable, key)
	k, ok := v.keys[key]
	if !ok {
		return
	}
	if k.record.EvacuatedZone == "" && v.inGracePeriod(now) {
		k.missing = true
		return
	}
	v.deleteKey(key, now)
}

func (v *View) deleteKey(key string, now time.Time) {
	k := v.keys[key]
	delete(v.keys, key)
	if k.record == (Record{}) {
		return
	}
	v.restore.recordDeletion(key, k.record, now)
	if k.record.Instance != nil {
		v.departedAt[k.record.Instance.Name] = now
	}
	v.logRecord("Key gone", key, 0, k.record)
}

// inGracePeriod reports whether the store is unavailable, or has recovered or come back from a copy less than GracePeriod ago.
func (v *View) inGracePeriod(now time.Time) bool {
	return v.storeUnavailable || v.inRestoreGracePeriod(now) || (!v.recoveredAt.IsZero() && now.Before(v.recoveredAt.Add(v.config.GracePeriod)))
}

// expireKeys deletes missing keys after the grace period and departed instances after their retention, and reports
// whether anything changed.
func (v *View) expireKeys(now time.Time) bool {
	changed := false
	if !v.inGracePeriod(now) {
		for key, k := range v.keys {
			if k.missing {
				v.deleteKey(key, now)
				changed = true
			} else if k.restored != nil {
				v.keys[key] = &keyState{record: *k.restored}
				v.logRecord("Key written", key, 0, *k.restored)
				changed = true
			}
		}
	}
	v.restore.forgetDeletions(now)
	for name, departedAt := range v.departedAt {
		if now.Sub(departedAt) > v.config.DepartedRetention {
			delete(v.departedAt, name)
			changed = true
		}
	}
	return changed
}

func (v *View) publishTable() {
	config := pollencatalog.TableConfig{Configuration: v.configuration, EvacuatedZones: make(map[string]bool), StoreEra: v.restore.position.Era}
	for _, k := range v.keys {
		switch {
		case k.record.Server != nil:
			config.Servers = append(config.Servers, k.record.Server)
		case k.record.Instance != nil:
			config.Instances = append(config.Instances, *k.record.Instance)
			delete(v.departedAt, k.record.Instance.Name)
		case k.record.EvacuatedZone != "":
			config.EvacuatedZones[k.record.EvacuatedZone] = true
		case k.record.RolloutOrder != nil:
			config.RolloutOrders = append(config.RolloutOrders, k.record.RolloutOrder)
		case k.record.RolloutState != nil:
			config.RolloutStates = append(config.RolloutStates, k.record.RolloutState)
		case k.record.VersionRecord != nil:
			config.VersionRecords = append(config.VersionRecords, k.record.VersionRecord)
		}
	}
	config.DepartedInstances = len(v.departedAt)
	table := pollencatalog.NewTable(config)
	if v.config.BeforePublish != nil {
		v.config.BeforePublish(table)
	}
	v.table.Store(table)
	v.unreadableCount.Store(int32(len(v.unreadable)))
	if v.config.OnPublish != nil {
		v.config.OnPublish(table)
	}
}

func (v *View) configurationVersion() uint64 {
	if v.configuration == nil {
		return 0
	}
	return v.configuration.Version
}

// logRecord logs a change of a key that names a server, an instance, an evacuated zone or a rollout.
func (v *View) logRecord(message, key string, revision uint64, record Record) {
	switch {
	case record.Server != nil:
		s := record.Server
		klog.InfoS(message, "key", key, "revision", revision, "service", s.Service, "zone", s.Zone, "leaving", s.Draining, "coldUntil", s.ColdUntil)
	case record.Instance != nil:
		klog.InfoS(message, "key", key, "revision", revision, "incarnation", record.Instance.Incarnation, "ready", record.Instance.Ready, "build", record.Instance.Build, "protocol", record.Instance.Protocol)
	case record.RolloutOrder != nil:
		o := record.RolloutOrder
		klog.InfoS(message, "key", key, "revision", revision, "target", o.Target, "duration", o.Duration.String(), "problem", o.Problem)
	case record.RolloutState != nil:
		s := record.RolloutState
		klog.InfoS(message, "key", key, "revision", revision, "target", s.Target, "state", s.State, "share", s.Share)
	case record.VersionRecord != nil:
		r := record.VersionRecord
		klog.InfoS(message, "key", key, "revision", revision, "versions", r.Versions, "order", r.OrderRevision, "guessed", r.Guessed)
	default:
		klog.InfoS(message, "key", key, "revision", revision, "evacuatedZone", record.EvacuatedZone)
	}
}
