package pollencontrol

import (
	"encoding/json"

	"pollenline.example/pollen/pollenconfig"
	"pollenline.example/pollen/pollenreplica"
)

// ReadConfiguration updates current to the replica's head; it returns current itself if the head is not newer.
func ReadConfiguration(replica *pollenreplica.Replica, current *pollenconfig.Configuration) (*pollenconfig.Configuration, error) {
	entry := replica.Get(KeyHead)
	if entry.Version == 0 {
		return current, nil
	}
	head := &pollenconfig.Head{}
	if err := json.Unmarshal(entry.Value, head); err != nil {
		return nil, &ValueError{Key: KeyHead, Err: err}
	}
	if head.Revision <= current.Revision {
		return current, nil
	}
	documents, err := changedDocuments(replica, head, current)
	if err != nil {
		return nil, err
	}
	return current.Update(head.Revision, head.ChangeID, documents)
}

// changedDocuments returns the documents in which head differs from current, deletions included.
func changedDocuments(replica *pollenreplica.Replica, head *pollenconfig.Head, current *pollenconfig.Configuration) ([]pollenconfig.Document, error) {
	var changed []pollenconfig.Document
	listed := make(map[string]bool, len(head.Documents))
	for _, r := range head.Documents {
		listed[r.Name] = true
		if known, ok := current.Documents[r.Name]; ok && known.Revision == r.Revision && !known.Deleted {
			continue
		}
		entry := replica.Get(r.Key)
		if entry.Version == 0 {
			return nil, &pollenconfig.DocumentError{Document: r.Name, Problem: "is not in the replica"}
		}
		changed = append(changed, pollenconfig.Document{Name: r.Name, Revision: r.Revision, Body: entry.Value})
	}
	for name, known := range current.Documents {
		if !listed[name] && !known.Deleted {
			changed = append(changed, pollenconfig.Document{Name: name, Revision: head.Revision, Deleted: true})
		}
	}
	return changed, nil
}
