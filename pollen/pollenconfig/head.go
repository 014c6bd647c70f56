package pollenconfig

import (
	"slices"
	"strings"
)

// Head names the documents in force; replacing it makes a change take effect.
type Head struct {
	Revision uint64
	ChangeID string
	// Documents are in order of name.
	Documents []Reference
	// Recent are the newest changes, newest first, so that a lost answer can be decided.
	Recent []Applied
}

// Reference says under which key of the store a document is kept.
type Reference struct {
	Name     string
	Revision uint64
	Key      string `json:",omitempty"`
	// Deleted is set in the references of a change that retires a document; a head names no such reference.
	Deleted bool `json:",omitempty"`
}

// Applied is a change that took effect.
type Applied struct {
	ChangeID string
	Revision uint64
}

// MaximumRecent is the number of changes that a head remembers.
const MaximumRecent = 256

// Find returns the revision at which a change took effect.
func (h *Head) Find(changeID string) (revision uint64, ok bool) {
	for _, applied := range h.Recent {
		if applied.ChangeID == changeID {
			return applied.Revision, true
		}
	}
	return 0, false
}

// Next returns the head after a change that wrote the given documents.
func (h *Head) Next(changeID string, written []Reference) *Head {
	next := &Head{Revision: h.Revision + 1, ChangeID: changeID}
	replaced := make(map[string]Reference, len(written))
	for _, r := range written {
		replaced[r.Name] = r
	}
	for _, r := range h.Documents {
		if _, ok := replaced[r.Name]; !ok {
			next.Documents = append(next.Documents, r)
		}
	}
	for _, r := range written {
		if !r.Deleted {
			next.Documents = append(next.Documents, r)
		}
	}
	slices.SortFunc(next.Documents, func(a, b Reference) int { return strings.Compare(a.Name, b.Name) })
	next.Recent = append([]Applied{{ChangeID: changeID, Revision: next.Revision}}, h.Recent...)
	if len(next.Recent) > MaximumRecent {
		next.Recent = next.Recent[:MaximumRecent]
	}
	return next
}
