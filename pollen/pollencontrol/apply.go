package pollencontrol

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"time"

	"pollenline.example/pollen/pollenchart"
	"pollenline.example/pollen/pollenconfig"
	"pollenline.example/pollen/pollenpeer"
	"pollenline.example/pollen/pollenroute"
	"pollenline.example/pollen/pollenschema"
	"pollenline.example/pollen/pollenstore"
)

// AcceptTimeout limits how long Apply waits for a stored change to be in force on all live instances.
const AcceptTimeout = 6 * time.Second

// maxSwapAttempts limits the attempts of a change without an expected revision that competes with other changes.
const maxSwapAttempts = 8

// Applier stores configuration changes and waits until they are in force.
type Applier struct {
	Store Store
	Peers Peers
	// Table returns the routing table in force.
	Table func() *pollenroute.Table
	// InForce waits until a revision is in force on this instance, or ctx ends, and returns the revision in force.
	InForce func(ctx context.Context, revision uint64) uint64
	// Incarnation is part of the documents' keys, so that instances never write the same key.
	Incarnation string
	// Started is the start time of this instance.
	Started time.Time
}

// ApplyResult is the result of a stored change.
type ApplyResult struct {
	Revision uint64
	// Accepted is set if the revision came into force on every live instance within AcceptTimeout.
	Accepted bool
	// WaitingFor holds the names of the instances that have not acknowledged the revision.
	WaitingFor []string
}

// StoreError reports a change whose outcome is unknown because the store did not answer.
//
// Retrying with the same change ID is safe.
type StoreError struct {
	ChangeID string
	Err      error
}

func (e *StoreError) Error() string {
	return fmt.Sprintf("change %s: the store did not answer: %v", e.ChangeID, e.Err)
}

func (e *StoreError) Unwrap() error { return e.Err }

// Apply stores a change and waits until it is in force on every live instance.
//
// Apply is idempotent per change ID. It returns *pollenconfig.ConflictError if the expected revision is outdated,
// *pollenconfig.DocumentError if a document is invalid, and *StoreError if the outcome is unknown.
func (a *Applier) Apply(ctx context.Context, request *pollenschema.ApplyRequest) (ApplyResult, error) {
	machine := pollenchart.NewMachine(changeChart)
	for range maxSwapAttempts {
		revision, event, err := a.tryApply(ctx, request)
		machine.Fire(event)
		switch {
		case machine.State() == stateStored:
			result := a.awaitInForce(ctx, revision)
			if len(result.WaitingFor) == 0 {
				machine.Fire(eventAllAcknowledged)
			}
			result.Accepted = machine.State() == stateAccepted
			return result, nil
		case machine.State() == stateRefused, err != nil && !machine.Has(traitReadsBack):
			return ApplyResult{}, err
		case ctx.Err() != nil:
			return ApplyResult{}, &StoreError{ChangeID: request.ChangeId, Err: ctx.Err()}
		}
		time.Sleep(retryInterval)
	}
	return ApplyResult{}, &StoreError{ChangeID: request.ChangeId, Err: ErrOutcomeUnknown}
}

// ErrOutcomeUnknown reports that no attempt could determine whether the change was stored.
var ErrOutcomeUnknown = errors.New("fate of the change is not known")

// retryInterval is the pause between attempts of one change, and between queries to one instance.
const retryInterval = 20 * time.Millisecond

// tryApply reads the head, writes the changed documents and swaps the head once.
//
// The returned event is the one to fire in the change's state chart.
func (a *Applier) tryApply(ctx context.Context, request *pollenschema.ApplyRequest) (revision uint64, event pollenchart.Event, err error) {
	entry, err := a.Store.Get(ctx, KeyHead)
	if err != nil {
		return 0, eventAnswerLost, &StoreError{ChangeID: request.ChangeId, Err: err}
	}
	head := &pollenconfig.Head{}
	if entry.Version > 0 {
		if err := json.Unmarshal(entry.Value, head); err != nil {
			return 0, eventConflict, &ValueError{Key: KeyHead, Err: err}
		}
	}
	if revision, ok := head.RevisionOf(request.ChangeId); ok {
		return revision, eventStored, nil
	}
	if request.ExpectedRevision != 0 && request.ExpectedRevision != head.Revision {
		return 0, eventConflict, &pollenconfig.ConflictError{Revision: head.Revision, ChangeID: head.ChangeID}
	}
	configuration, err := a.readConfiguration(ctx, head)
	if err != nil {
		return 0, eventAnswerLost, &StoreError{ChangeID: request.ChangeId, Err: err}
	}
	documents, err := configuration.Apply(request.Changes)
	if err != nil {
		return 0, eventConflict, err
	}
	return a.swapHead(ctx, request, head, entry.Version, documents)
}

// readConfiguration reads the documents that head refers to.
func (a *Applier) readConfiguration(ctx context.Context, head *pollenconfig.Head) (*pollenconfig.Configuration, error) {
	documents := make([]pollenconfig.Document, 0, len(head.Documents))
	for _, r := range head.Documents {
		entry, err := a.Store.Get(ctx, r.Key)
		if err != nil {
			return nil, err
		}
		if entry.Version == 0 {
			return nil, &pollenconfig.DocumentError{Document: r.Name, Problem: "is gone"}
		}
		documents = append(documents, pollenconfig.Document{Name: r.Name, Revision: r.Revision, Body: entry.Value})
	}
	return pollenconfig.Empty().Update(head.Revision, head.ChangeID, documents)
}

// swapHead writes the documents and makes them effective by a compare-and-swap of the head.
func (a *Applier) swapHead(ctx context.Context, request *pollenschema.ApplyRequest, head *pollenconfig.Head, version uint64, documents []pollenconfig.Document) (uint64, pollenchart.Event, error) {
	written, err := a.writeDocuments(ctx, documents)
	if err != nil {
		a.deleteKeys(written)
		return 0, eventAnswerLost, &StoreError{ChangeID: request.ChangeId, Err: err}
	}
	next := head.Next(request.ChangeId, written)
	_, err = a.Store.CompareAndSwap(ctx, pollenstore.Swap{Key: KeyHead, Value: encode(next), Expected: version})
	var conflict *pollenstore.ConflictError
	switch {
	case err == nil:
		a.deleteKeys(replacedReferences(head, next))
		return next.Revision, eventStored, nil
	case errors.As(err, &conflict):
		a.deleteKeys(written)
		// This attempt had no effect; the next one starts from the new head.
		return 0, eventNotFound, nil
	}
	return 0, eventAnswerLost, &StoreError{ChangeID: request.ChangeId, Err: err}
}

// writeDocuments writes the documents under new keys, except retired ones, and returns a reference to each.
//
// With an error it returns those up to the document whose write failed, because that write may have taken effect.
func (a *Applier) writeDocuments(ctx context.Context, documents []pollenconfig.Document) ([]pollenconfig.Reference, error) {
	var written []pollenconfig.Reference
	for _, d := range documents {
		r := pollenconfig.Reference{Name: d.Name, Revision: d.Revision, Deleted: d.Deleted}
		if !d.Deleted {
			r.Key = PrefixDocument + d.Name + "/" + a.Incarnation + "-" + strconv.FormatInt(time.Now().UnixNano(), 36)
			if _, err := a.Store.CompareAndSwap(ctx, pollenstore.Swap{Key: r.Key, Value: d.Body}); err != nil {
				return append(written, r), err
			}
		}
		written = append(written, r)
	}
	return written, nil
}

// deleteKeys deletes documents that no head refers to. It ignores errors: a document left behind is never read.
func (a *Applier) deleteKeys(references []pollenconfig.Reference) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	for _, r := range references {
		if r.Key == "" {
			continue
		}
		if entry, err := a.Store.Get(ctx, r.Key); err == nil && entry.Version > 0 {
			_, _ = a.Store.CompareAndSwap(ctx, pollenstore.Swap{Key: r.Key, Expected: entry.Version, Delete: true})
		}
	}
}

// awaitInForce waits until every live instance has the revision in force, for AcceptTimeout at most.
func (a *Applier) awaitInForce(ctx context.Context, revision uint64) ApplyResult {
	ctx, cancel := context.WithTimeout(ctx, AcceptTimeout)
	defer cancel()
	result := ApplyResult{Revision: revision}
	storedAt := time.Now()
	// Once the revision is in force here, the table holds every instance whose record was stored before it.
	a.InForce(ctx, revision)
	var mu sync.Mutex
	var wg sync.WaitGroup
	table := a.Table()
	for _, i := range table.Instances {
		wg.Go(func() {
			if !a.awaitInstance(ctx, table.Self, i, revision, storedAt) {
				mu.Lock()
				defer mu.Unlock()
				result.WaitingFor = append(result.WaitingFor, i.Name)
			}
		})
	}
	wg.Wait()
	a.awaitUndiscoveredInstances(ctx, storedAt)
	return result
}

// awaitUndiscoveredInstances waits until instances unknown to this one can no longer serve an older revision.
//
// An instance that started recently may not know instances whose records expired in an outage of the store.
func (a *Applier) awaitUndiscoveredInstances(ctx context.Context, storedAt time.Time) {
	if storedAt.Sub(a.Started) > isolationTimeout+PeerTimeout {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(storedAt.Add(isolationTimeout))):
	}
}

// awaitInstance waits until an instance has the revision in force or can no longer serve an older one.
//
// It returns false if ctx ends first.
func (a *Applier) awaitInstance(ctx context.Context, self, i pollenroute.Instance, revision uint64, storedAt time.Time) bool {
	if i.Incarnation == self.Incarnation {
		return a.InForce(ctx, revision) >= revision
	}
	for ctx.Err() == nil {
		reply, err := a.Peers.InForce(ctx, i, pollenpeer.InForceRequest{Revision: revision, Wait: time.Second})
		if err == nil && reply.Revision >= revision {
			return true
		}
		if err != nil && i.Unrecorded && time.Since(storedAt) > isolationTimeout {
			// The instance is partitioned, and its own table is by now too stale to serve from.
			return true
		}
		if current, live := a.Table().ByIncarnation(i.Incarnation); !live || current.Name != i.Name {
			// A stopped instance serves nothing, and its successor reads the head before it serves.
			return true
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryInterval):
		}
	}
	return false
}

// replacedReferences returns the references of head whose keys next no longer has.
func replacedReferences(head, next *pollenconfig.Head) []pollenconfig.Reference {
	kept := make(map[string]bool, len(next.Documents))
	for _, r := range next.Documents {
		kept[r.Key] = true
	}
	var replaced []pollenconfig.Reference
	for _, r := range head.Documents {
		if !kept[r.Key] {
			replaced = append(replaced, r)
		}
	}
	return replaced
}
