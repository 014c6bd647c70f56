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

// AcceptTime is how long an operator's call waits until a change is in force everywhere.
const AcceptTime = 6 * time.Second

// swapTries bounds how often a change without an expected revision is tried against others.
const swapTries = 8

// Applier carries out operators' changes.
type Applier struct {
	Store Store
	Peers Peers
	// Table returns the table in force.
	Table func() *pollenroute.Table
	// InForce waits until this instance has a revision in force and returns the one it has.
	InForce func(ctx context.Context, revision uint64) uint64
	// Incarnation makes the keys of documents unique.
	Incarnation string
	// Started is when this instance started.
	Started time.Time
}

// Applied tells how far a change has got.
type Applied struct {
	Revision   uint64
	Accepted   bool
	WaitingFor []string
}

// StoreError reports a change whose fate is not known because the store did not answer; ask again with its id.
type StoreError struct {
	ChangeID string
	Err      error
}

func (e *StoreError) Error() string {
	return fmt.Sprintf("change %s: the store did not answer: %v", e.ChangeID, e.Err)
}

func (e *StoreError) Unwrap() error { return e.Err }

// Apply stores a change and waits until every live instance has it in force.
//
// A change id that was applied before is not applied again. It returns *pollenconfig.ConflictError when another
// change was first, *pollenconfig.DocumentError for a change that is refused, and *StoreError.
func (a *Applier) Apply(ctx context.Context, request *pollenschema.ApplyRequest) (Applied, error) {
	machine := pollenchart.NewMachine(changeChart)
	for range swapTries {
		revision, event, err := a.attempt(ctx, request)
		machine.Fire(event)
		switch {
		case machine.State() == stateStored:
			applied := a.await(ctx, revision)
			if len(applied.WaitingFor) == 0 {
				machine.Fire(eventAllAcknowledged)
			}
			applied.Accepted = machine.State() == stateAccepted
			return applied, nil
		case machine.State() == stateRefused, err != nil && !machine.Has(traitReadsBack):
			return Applied{}, err
		case ctx.Err() != nil:
			return Applied{}, &StoreError{ChangeID: request.ChangeId, Err: ctx.Err()}
		}
		time.Sleep(retryPause)
	}
	return Applied{}, &StoreError{ChangeID: request.ChangeId, Err: ErrUndecided}
}

// ErrUndecided is the cause of a change whose fate could not be read back.
var ErrUndecided = errors.New("fate of the change is not known")

// retryPause is the pause between attempts of one change.
const retryPause = 20 * time.Millisecond

// attempt reads the head, writes the changed documents and swaps the head once; event is for the change's chart.
func (a *Applier) attempt(ctx context.Context, request *pollenschema.ApplyRequest) (revision uint64, event pollenchart.Event, err error) {
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
	if revision, ok := head.Find(request.ChangeId); ok {
		return revision, eventStored, nil
	}
	if request.ExpectedRevision != 0 && request.ExpectedRevision != head.Revision {
		return 0, eventConflict, &pollenconfig.ConflictError{Revision: head.Revision, ChangeID: head.ChangeID}
	}
	configuration, err := a.read(ctx, head)
	if err != nil {
		return 0, eventAnswerLost, &StoreError{ChangeID: request.ChangeId, Err: err}
	}
	documents, err := configuration.Apply(request.Changes)
	if err != nil {
		return 0, eventConflict, err
	}
	return a.swap(ctx, request, head, entry.Version, documents)
}

// read returns the configuration that a head names.
func (a *Applier) read(ctx context.Context, head *pollenconfig.Head) (*pollenconfig.Configuration, error) {
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

func (a *Applier) swap(ctx context.Context, request *pollenschema.ApplyRequest, head *pollenconfig.Head, version uint64, documents []pollenconfig.Document) (uint64, pollenchart.Event, error) {
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
		a.deleteKeys(replacedBy(head, next))
		return next.Revision, eventStored, nil
	case errors.As(err, &conflict):
		a.deleteKeys(written)
		// The next attempt decides with the winner's head.
		return 0, eventNotFound, nil
	}
	return 0, eventAnswerLost, &StoreError{ChangeID: request.ChangeId, Err: err}
}

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

// deleteKeys removes documents that no head names; one that stays behind does no harm.
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

// await asks every live instance until it has the revision in force.
func (a *Applier) await(ctx context.Context, revision uint64) Applied {
	ctx, cancel := context.WithTimeout(ctx, AcceptTime)
	defer cancel()
	applied := Applied{Revision: revision}
	stored := time.Now()
	// Once the revision is in force here, every record that stood before it is known here too.
	a.InForce(ctx, revision)
	var mu sync.Mutex
	var group sync.WaitGroup
	table := a.Table()
	for _, i := range table.Instances {
		group.Go(func() {
			if !a.reached(ctx, table.Self, i, revision, stored) {
				mu.Lock()
				defer mu.Unlock()
				applied.WaitingFor = append(applied.WaitingFor, i.Name)
			}
		})
	}
	group.Wait()
	a.awaitUnknownInstances(ctx, stored)
	return applied
}

// awaitUnknownInstances waits until instances that this one has not met yet cannot serve an older revision any longer.
//
// An instance that has just started may meet others whose records went in an outage of the store.
func (a *Applier) awaitUnknownInstances(ctx context.Context, stored time.Time) {
	if stored.Sub(a.Started) > isolationTime+PeerSilentTime {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(stored.Add(isolationTime))):
	}
}

// reached waits until an instance has the revision in force, or cannot serve an older one any longer.
func (a *Applier) reached(ctx context.Context, self, i pollenroute.Instance, revision uint64, stored time.Time) bool {
	if i.Incarnation == self.Incarnation {
		return a.InForce(ctx, revision) >= revision
	}
	for ctx.Err() == nil {
		reply, err := a.Peers.InForce(ctx, i, pollenpeer.InForceRequest{Revision: revision, Wait: time.Second})
		if err == nil && reply.Revision >= revision {
			return true
		}
		if err != nil && i.Unrecorded && time.Since(stored) > isolationTime {
			// It is cut off, and its own table has become too old to serve from.
			return true
		}
		if current, live := a.Table().ByIncarnation(i.Incarnation); !live || current.Name != i.Name {
			// An instance that is gone has nothing in force, and its successor reads the head before it serves.
			return true
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryPause):
		}
	}
	return false
}

func replacedBy(head, next *pollenconfig.Head) []pollenconfig.Reference {
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
