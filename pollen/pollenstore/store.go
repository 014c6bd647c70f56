package pollenstore

import (
	"fmt"
	"time"
)

// Entry is a key with its value.
type Entry struct {
	Key   string
	Value []byte
	// Version is the store revision of the last write, zero if the key does not exist.
	Version uint64
	// Lease is the ID of the lease that the key is attached to, zero for a key that stays until it is deleted.
	Lease uint64
}

// Event is the write of a key or, if Deleted is set, its deletion; Entry.Version is the store revision of either.
type Event struct {
	Entry   Entry
	Deleted bool
}

// Listing holds all keys under a prefix at one store revision.
type Listing struct {
	Entries  []Entry
	Revision uint64
	// Era is the store's era at the listing, zero if the store does not state it.
	Era uint64
}

// Changes holds the events under a prefix up to a store revision.
type Changes struct {
	Events   []Event
	Revision uint64
	// Era is the store's era at the answer, zero if the store does not state it. It rises each time the store comes back from a
	// copy; revisions of different eras can't be compared.
	Era uint64
}

// Swap is a write or deletion of a key that takes effect only if the key still has the expected version.
type Swap struct {
	Key   string
	Value []byte
	// Expected is zero for a key that must not exist.
	Expected uint64
	// Lease is the ID of the lease to attach the key to, zero for none.
	Lease uint64
	// Delete deletes the key instead of writing it.
	Delete bool
}

// Condition is a key with the version that it must have for a transaction to take effect; zero for a key that must not exist.
type Condition struct {
	Key     string
	Version uint64
}

// Transaction writes and removes keys in one step, if all conditions hold.
type Transaction struct {
	Conditions []Condition
	// Puts holds the keys to write; their versions do not matter.
	Puts   []Entry
	Remove []string
}

// ConditionError reports a transaction whose conditions do not hold, and which had no effect.
type ConditionError struct {
	// Current holds the keys of the conditions that exist.
	Current []Entry
}

func (e *ConditionError) Error() string {
	text := "conditions of a transaction do not hold"
	for _, entry := range e.Current {
		text += fmt.Sprintf("; key %s has version %d", entry.Key, entry.Version)
	}
	return text
}

// Lease is a lease as the store granted it; it expires Duration after its last renewal.
type Lease struct {
	ID       uint64
	Duration time.Duration
	// Era is the store's era at the grant, zero if it is not known. In a later era the ID may be another lease's.
	Era uint64
}

// ConflictError reports a swap whose key does not have the expected version.
type ConflictError struct {
	Key string
	// Current is the key's version, zero if the key does not exist.
	Current uint64
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("key %s has version %d", e.Key, e.Current)
}

// LeaseGoneError reports that a lease has expired or was revoked.
type LeaseGoneError struct {
	ID uint64
}

func (e *LeaseGoneError) Error() string {
	return fmt.Sprintf("lease %d is gone", e.ID)
}

// CompactedError reports a watch after a revision whose later events are no longer all kept.
type CompactedError struct {
	// Oldest is the earliest store revision after which a watch can start.
	Oldest uint64
}

func (e *CompactedError) Error() string {
	return fmt.Sprintf("events up to revision %d are gone", e.Oldest)
}

// UnavailableError reports a failed call whose outcome is unknown; it may have taken effect.
type UnavailableError struct {
	// Call is the URL path or the name of the call.
	Call string
	Err  error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("store call %s: %v", e.Call, e.Err)
}

func (e *UnavailableError) Unwrap() error { return e.Err }

// RateLimitError reports a call that the store rejected before executing it, because of too many calls.
type RateLimitError struct {
	// Call is the URL path of the call.
	Call string
}

func (e *RateLimitError) Error() string {
	return fmt.Sprintf("store call %s: too many calls", e.Call)
}
