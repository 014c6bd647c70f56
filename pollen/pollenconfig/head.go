package pollenconfig

import (
	"slices"
	"strings"
)

// Head refers to the documents in force; replacing it makes a change take effect.
type Head struct {
	Revision uint64
	ChangeID string
	// Documents is sorted by name.
	Documents []Reference
	// Recent holds the most recent changes, newest first. It shows whether a change whose response was lost was stored.
	Recent []Applied
}

// Reference is the key and revision of a stored document.
type Reference struct {
	Name     string
	Revision uint64
	Key      string `json:",omitempty"`
	// Deleted marks the retirement of a document while a change is built; a stored head holds no such reference.
	Deleted bool `json:",omitempty"`
}

// Applied is a change that took effect and the revision at which it did.
type Applied struct {
	ChangeID string
	Revision uint64
}

// MaxRecentChanges is the length limit of Head.Recent.
const MaxRecentChanges = 256

// RevisionOf returns the revision at which a recent change took effect.
func (h *Head) RevisionOf(changeID string) (revision uint64, ok bool) {
	for _, applied := range h.Recent {
		if applied.ChangeID == changeID {
			return applied.Revision, true
		}
	}
	return 0, false
}

// Next returns the head that results from a change that wrote the given documents.
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
	if len(next.Recent) > MaxRecentChanges {
		next.Recent = next.Recent[:MaxRecentChanges]
	}
	return next
}
