package pollendrain

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Stage is how far an open request has come.
type Stage int32

// The stages of an open request.
const (
	// Waiting means that nothing has been sent: the request waits for capacity.
	Waiting Stage = iota
	// Sent means that servers may have it.
	Sent
	// Passed means that another instance may have it.
	Passed
)

func (s Stage) String() string {
	switch s {
	case Waiting:
		return "waiting"
	case Sent:
		return "sent"
	case Passed:
		return "passed"
	}
	return fmt.Sprintf("stage %d", int32(s))
}

// OpenRequest is a request that the instance has read and that has no answer yet.
type OpenRequest struct {
	// ID is the ID that the caller gave the request.
	ID       string
	Received time.Time
	stage    atomic.Int32
}

// SetStage records that the request has come to a stage.
func (r *OpenRequest) SetStage(stage Stage) { r.stage.Store(int32(stage)) }

// Stage returns how far the request has come.
func (r *OpenRequest) Stage() Stage { return Stage(r.stage.Load()) }

// OpenRequests holds the open requests of an instance. The zero value is ready to use.
type OpenRequests struct {
	mu       sync.Mutex
	requests map[*OpenRequest]struct{}
}

// Add adds a request, which Remove must remove.
func (o *OpenRequests) Add(id string, received time.Time) *OpenRequest {
	r := &OpenRequest{ID: id, Received: received}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.requests == nil {
		o.requests = make(map[*OpenRequest]struct{})
	}
	o.requests[r] = struct{}{}
	return r
}

// Remove removes a request that has ended.
func (o *OpenRequests) Remove(r *OpenRequest) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.requests, r)
}

// List returns the open requests, those that came first in front.
func (o *OpenRequests) List() []*OpenRequest {
	o.mu.Lock()
	defer o.mu.Unlock()
	list := make([]*OpenRequest, 0, len(o.requests))
	for r := range o.requests {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *OpenRequest) int {
		return cmp.Or(a.Received.Compare(b.Received), cmp.Compare(a.ID, b.ID))
	})
	return list
}
