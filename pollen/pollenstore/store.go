package pollenstore

import (
	"fmt"
	"time"
)

// Entry is a key with its value and the store revision of its last write.
type Entry struct {
	Key     string
	Value   []byte
	Version uint64
	// Lease is zero for a key that stays until it is deleted.
	Lease uint64
}

// Event is a write or, when Deleted is set, a deletion.
type Event struct {
	Entry   Entry
	Deleted bool
}

// Listing is the state of all keys under a prefix at one store revision.
type Listing struct {
	Entries  []Entry
	Revision uint64
}

// Changes are the events under a prefix up to a store revision.
type Changes struct {
	Events   []Event
	Revision uint64
}

// Swap replaces a key if its version is still the expected one.
type Swap struct {
	Key   string
	Value []byte
	// Expected is zero for a key that must not exist.
	Expected uint64
	Lease    uint64
	// Delete removes the key instead of writing it.
	Delete bool
}

// Lease is a granted lease.
type Lease struct {
	ID       uint64
	Duration time.Duration
}

// ConflictError reports a swap whose key had another version.
type ConflictError struct {
	Key string
	// Current is the key's version, zero if it does not exist.
	Current uint64
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("key %s has version %d", e.Key, e.Current)
}

// LeaseGoneError reports a lease that has expired or was revoked.
type LeaseGoneError struct {
	ID uint64
}

func (e *LeaseGoneError) Error() string {
	return fmt.Sprintf("lease %d is gone", e.ID)
}

// CompactedError reports a watch that starts before the oldest event kept.
type CompactedError struct {
	Oldest uint64
}

func (e *CompactedError) Error() string {
	return fmt.Sprintf("events before revision %d are gone", e.Oldest)
}

// UnavailableError reports a call whose effect is not known: it may have taken place.
type UnavailableError struct {
	Call string
	Err  error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("store call %s: %v", e.Call, e.Err)
}

func (e *UnavailableError) Unwrap() error { return e.Err }

// LimitedError reports a call that the store refused for its rate, before it ran.
type LimitedError struct {
	Call string
}

func (e *LimitedError) Error() string {
	return fmt.Sprintf("store call %s: too many calls", e.Call)
}
