package pollenrollout

import (
	"encoding/json"
	"fmt"
	"strings"

	"k8s.io/klog/v2"

	"pollenline.example/pollen/pollencatalog"
	"pollenline.example/pollen/pollenstore"
)

const (
	// StatePrefix is the prefix of the keys that hold the states of rollouts, by service.
	StatePrefix = "pollenline/rollouts/"
	// RecordPrefix is the prefix of the keys that hold the versions in force, by service.
	RecordPrefix = "pollenline/versions/"
)

// DecodeState returns the state of a rollout that a key holds.
func DecodeState(entry pollenstore.Entry) (*pollencatalog.RolloutState, error) {
	state := &pollencatalog.RolloutState{}
	if err := json.Unmarshal(entry.Value, state); err != nil {
		return nil, fmt.Errorf("rollout: %w", err)
	}
	state.Service, state.Revision = strings.TrimPrefix(entry.Key, StatePrefix), entry.Version
	return state, nil
}

// DecodeRecord returns the versions in force that a key holds. A record that is not readable names no versions; its revision is needed to
// replace it.
func DecodeRecord(entry pollenstore.Entry) *pollencatalog.VersionRecord {
	record := &pollencatalog.VersionRecord{}
	if err := json.Unmarshal(entry.Value, record); err != nil {
		klog.ErrorS(err, "Versions in force are not readable", "key", entry.Key, "revision", entry.Version)
		record = &pollencatalog.VersionRecord{}
	}
	record.Service, record.Revision = strings.TrimPrefix(entry.Key, RecordPrefix), entry.Version
	return record
}

// encodeRecord returns the entry that holds a record.
func encodeRecord(record pollencatalog.VersionRecord) (pollenstore.Entry, error) {
	value, err := json.Marshal(record)
	if err != nil {
		return pollenstore.Entry{}, fmt.Errorf("versions of %s: %w", record.Service, err)
	}
	return pollenstore.Entry{Key: RecordPrefix + record.Service, Value: value}, nil
}
