package pollenstore

import (
	"errors"
	"fmt"
)

// Position is a store revision with the era in which it was given out.
//
// The era rises each time the store comes back from a copy, and revisions are given out again then. It is zero if it is not
// known; such a position is compared by its revision.
type Position struct {
	Era, Revision uint64
}

// Position returns the position of a listing.
func (l Listing) Position() Position { return Position{Era: l.Era, Revision: l.Revision} }

// Position returns the position up to which the changes are.
func (c Changes) Position() Position { return Position{Era: c.Era, Revision: c.Revision} }

// SameEra reports whether the revisions of two positions can be compared.
func (p Position) SameEra(other Position) bool {
	return p.Era == other.Era || p.Era == 0 || other.Era == 0
}

// LaterEra reports whether a position is of a later era than another one.
func (p Position) LaterEra(other Position) bool { return !p.SameEra(other) && p.Era > other.Era }

// Newer reports whether a position is later than another one.
func (p Position) Newer(other Position) bool {
	return p.LaterEra(other) || p.SameEra(other) && p.Revision > other.Revision
}

// Advance returns the later of two positions, with the known era if only one of them has one.
func (p Position) Advance(other Position) Position {
	later := p
	if other.Newer(p) {
		later = other
	}
	if later.Era == 0 {
		later.Era = max(p.Era, other.Era)
	}
	return later
}

// RestoredError reports a call that needs the history of an earlier era, which the store lost when it came back from a copy.
type RestoredError struct {
	Before, Era uint64
}

func (e *RestoredError) Error() string {
	return fmt.Sprintf("store was restored from a copy: era %d instead of %d", e.Era, e.Before)
}

// HistoryGone reports whether an error says that the events after a position can't be had, so that all keys must be listed.
func HistoryGone(err error) bool {
	var compacted *CompactedError
	var restored *RestoredError
	return errors.As(err, &compacted) || errors.As(err, &restored)
}
