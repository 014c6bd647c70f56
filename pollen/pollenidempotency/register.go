package pollenidempotency

import (
	"container/heap"
	"context"
	"fmt"
	"sync"
	"time"

	"pollenline.example/pollen/pollencheck"
	"pollenline.example/pollen/pollenmessage"
	"pollenline.example/pollen/pollenschema"
)

// MaxLifetime is the largest time to expiry that a request may have.
const MaxLifetime = time.Minute

// Config holds the parameters of a Register.
type Config struct {
	// Incarnation is the only incarnation whose requests are accepted.
	Incarnation string
	// Capacity bounds the number of stored requests, and separately the number of stored refusals.
	Capacity int
}

// Register holds the requests of one incarnation and their responses until they expire.
type Register struct {
	config Config
	mu     sync.Mutex
	// entries holds the stored requests by nonce.
	entries  map[string]*entry
	byExpiry expiryHeap
	// requests and refusals are the numbers of stored requests and of stored refusals.
	requests int
	refusals int
}

// NewRegister returns an empty register.
func NewRegister(config Config) *Register {
	return &Register{config: config, entries: make(map[string]*entry)}
}

// Refusal is the error for a request that may not run; its fields go into the response to the caller.
type Refusal struct {
	Outcome pollenschema.Outcome
	Reason  pollenschema.Reason
	Detail  string
}

func (r *Refusal) Error() string {
	return fmt.Sprintf("%v: %v: %s", r.Outcome, r.Reason, r.Detail)
}

// Admission is the result of registering a request; exactly one field is set.
type Admission struct {
	// Permit allows the request to run once.
	Permit *Permit
	// Response is the response of the request's first copy.
	Response *pollenschema.QueryResponse
}

// Permit allows a request to run once and records its response.
type Permit struct {
	register *Register
	entry    *entry
}

// Begin admits a new request; for a duplicate it waits for the response of the first copy.
//
// It returns a *Refusal for a request that may not run. The digest distinguishes different requests with the same ID.
func (r *Register) Begin(ctx context.Context, id pollenmessage.RequestID, digest uint64) (Admission, error) {
	if id.Incarnation != r.config.Incarnation {
		return Admission{}, unknownOutcome(pollenschema.Reason_REASON_INCARNATION_GONE, "the id belongs to another incarnation")
	}
	e, found, err := r.findOrAdd(id, digest)
	if err != nil {
		return Admission{}, err
	}
	if found {
		response, err := e.waitForResponse(ctx, digest)
		return Admission{Response: response}, err
	}
	return Admission{Permit: &Permit{register: r, entry: e}}, nil
}

// Finish records the response of the request for later duplicates; it must be called once.
func (p *Permit) Finish(response *pollenschema.QueryResponse) {
	p.register.mu.Lock()
	defer p.register.mu.Unlock()
	pollencheck.Assert(p.entry.response == nil, pollencheck.AtMostOnce, "request %s finished twice", p.entry.nonce)
	p.entry.response = response
	close(p.entry.done)
}

// Len returns the number of stored requests and refusals.
func (r *Register) Len() (requests, refusals int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.requests, r.refusals
}

// entry is one stored request.
type entry struct {
	nonce  string
	expiry time.Time
	// digest distinguishes different requests with the same ID.
	digest uint64
	// refused is set if the entry counts as a refusal rather than as a request.
	refused bool
	// done is closed once response is set.
	done     chan struct{}
	response *pollenschema.QueryResponse
}

// findOrAdd returns the entry of a request, adding one if the request is new and may run.
func (r *Register) findOrAdd(id pollenmessage.RequestID, digest uint64) (e *entry, found bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.removeExpiredLocked(now)
	if e, found := r.entries[id.Nonce]; found {
		return e, true, nil
	}
	if !id.Expiry.After(now) {
		return nil, false, unknownOutcome(pollenschema.Reason_REASON_EXPIRED, "the id has expired; it may have run before")
	}
	if id.Expiry.Sub(now) > MaxLifetime {
		return nil, false, r.refuseLocked(id, digest, pollenschema.Reason_REASON_INVALID, "the id's expiry is too far ahead")
	}
	if r.requests >= r.config.Capacity {
		return nil, false, r.refuseLocked(id, digest, pollenschema.Reason_REASON_OVERLOAD, "too many requests are remembered")
	}
	r.requests++
	return r.addLocked(&entry{nonce: id.Nonce, expiry: id.Expiry, digest: digest}), false, nil
}

// refuseLocked refuses a request and stores the refusal until the ID expires, so that duplicates are refused as well.
func (r *Register) refuseLocked(id pollenmessage.RequestID, digest uint64, reason pollenschema.Reason, detail string) *Refusal {
	if r.refusals >= r.config.Capacity {
		// Without a stored refusal a duplicate may be admitted later, so that OUTCOME_NOT_RUN cannot be guaranteed.
		return unknownOutcome(reason, detail)
	}
	r.refusals++
	e := r.addLocked(&entry{nonce: id.Nonce, expiry: id.Expiry, digest: digest, refused: true})
	e.response = &pollenschema.QueryResponse{Outcome: pollenschema.Outcome_OUTCOME_NOT_RUN, Reason: reason, Detail: detail}
	close(e.done)
	return &Refusal{Outcome: pollenschema.Outcome_OUTCOME_NOT_RUN, Reason: reason, Detail: detail}
}

// addLocked stores an entry until it expires.
func (r *Register) addLocked(e *entry) *entry {
	e.done = make(chan struct{})
	r.entries[e.nonce] = e
	heap.Push(&r.byExpiry, e)
	return e
}

// removeExpiredLocked removes expired entries except those of requests that are still running.
func (r *Register) removeExpiredLocked(now time.Time) {
	for len(r.byExpiry) > 0 && !r.byExpiry[0].expiry.After(now) {
		e := r.byExpiry[0]
		if e.response == nil {
			e.expiry = now.Add(unfinishedExtension)
			heap.Fix(&r.byExpiry, 0)
			continue
		}
		heap.Pop(&r.byExpiry)
		delete(r.entries, e.nonce)
		if e.refused {
			r.refusals--
		} else {
			r.requests--
		}
	}
}

// waitForResponse returns the response of the first copy once that has finished.
func (e *entry) waitForResponse(ctx context.Context, digest uint64) (*pollenschema.QueryResponse, error) {
	if e.digest != digest {
		return nil, unknownOutcome(pollenschema.Reason_REASON_DUPLICATE, "the id was used for another request")
	}
	select {
	case <-e.done:
		return e.response, nil
	case <-ctx.Done():
		return nil, unknownOutcome(pollenschema.Reason_REASON_DEADLINE, "the first copy is still running")
	}
}

// unfinishedExtension is added to the expiry of a request that is still running when its ID expires.
const unfinishedExtension = time.Second

// unknownOutcome returns the refusal of a request that may have run, or may yet run, under the same ID.
func unknownOutcome(reason pollenschema.Reason, detail string) *Refusal {
	return &Refusal{Outcome: pollenschema.Outcome_OUTCOME_UNKNOWN, Reason: reason, Detail: detail}
}

// expiryHeap is a min-heap of entries by expiry.
type expiryHeap []*entry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expiry.Before(h[j].expiry) }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) { *h = append(*h, x.(*entry)) }

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}
