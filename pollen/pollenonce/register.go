package pollenonce

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

// MaximumLifetime is how far ahead the expiry of a request may lie.
const MaximumLifetime = time.Minute

// Config configures a Register.
type Config struct {
	// Incarnation is the only one whose requests are taken.
	Incarnation string
	// Capacity bounds the requests that are remembered at once, and apart from them the refusals.
	Capacity int
}

// Register holds the requests of one incarnation until they expire.
type Register struct {
	config   Config
	mu       sync.Mutex
	entries  map[string]*entry
	expiry   expiryHeap
	requests int
	refusals int
}

// NewRegister returns an empty register.
func NewRegister(config Config) *Register {
	return &Register{config: config, entries: make(map[string]*entry)}
}

// Refusal reports a request that may not run; Outcome says what may be told to the caller.
type Refusal struct {
	Outcome pollenschema.Outcome
	Reason  pollenschema.Reason
	Detail  string
}

func (r *Refusal) Error() string {
	return fmt.Sprintf("%v: %v: %s", r.Outcome, r.Reason, r.Detail)
}

// Admission is what becomes of a request: exactly one field is set.
type Admission struct {
	// Ticket is the right to run the request once.
	Ticket *Ticket
	// Response is that of the first copy.
	Response *pollenschema.QueryResponse
}

// Ticket is the right to run a request once.
type Ticket struct {
	register *Register
	entry    *entry
}

// Begin admits a request that has not been seen before; for a copy it waits for the first one's response.
//
// It returns a *Refusal for a request that may not run. The digest tells requests apart that share an id.
func (r *Register) Begin(ctx context.Context, id pollenmessage.RequestID, digest uint64) (Admission, error) {
	if id.Incarnation != r.config.Incarnation {
		return Admission{}, unknown(pollenschema.Reason_REASON_INCARNATION_GONE, "the id belongs to another incarnation")
	}
	e, seen, err := r.enter(id, digest)
	if err != nil {
		return Admission{}, err
	}
	if seen {
		response, err := e.wait(ctx, digest)
		return Admission{Response: response}, err
	}
	return Admission{Ticket: &Ticket{register: r, entry: e}}, nil
}

// Finish records the response of the request for copies that come later.
func (t *Ticket) Finish(response *pollenschema.QueryResponse) {
	t.register.mu.Lock()
	defer t.register.mu.Unlock()
	pollencheck.Assert(t.entry.response == nil, pollencheck.AtMostOnce, "request %s finished twice", t.entry.nonce)
	t.entry.response = response
	close(t.entry.done)
}

// Len returns the number of requests and refusals remembered.
func (r *Register) Len() (requests, refusals int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.requests, r.refusals
}

// entry is one remembered request.
type entry struct {
	nonce    string
	expiry   time.Time
	digest   uint64
	refusal  bool
	done     chan struct{}
	response *pollenschema.QueryResponse
}

func (r *Register) enter(id pollenmessage.RequestID, digest uint64) (e *entry, seen bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.forgetLocked(now)
	if e, seen := r.entries[id.Nonce]; seen {
		return e, true, nil
	}
	if !id.Expiry.After(now) {
		return nil, false, unknown(pollenschema.Reason_REASON_EXPIRED, "the id has expired; it may have run before")
	}
	if id.Expiry.Sub(now) > MaximumLifetime {
		return nil, false, r.refuseLocked(id, digest, pollenschema.Reason_REASON_INVALID, "the id's expiry is too far ahead")
	}
	if r.requests >= r.config.Capacity {
		return nil, false, r.refuseLocked(id, digest, pollenschema.Reason_REASON_OVERLOAD, "too many requests are remembered")
	}
	r.requests++
	return r.addLocked(&entry{nonce: id.Nonce, expiry: id.Expiry, digest: digest}), false, nil
}

// refuseLocked refuses a request for as long as its id is valid: a copy that comes later meets the same refusal.
func (r *Register) refuseLocked(id pollenmessage.RequestID, digest uint64, reason pollenschema.Reason, detail string) *Refusal {
	if r.refusals >= r.config.Capacity {
		return unknown(reason, detail)
	}
	r.refusals++
	e := r.addLocked(&entry{nonce: id.Nonce, expiry: id.Expiry, digest: digest, refusal: true})
	e.response = &pollenschema.QueryResponse{Outcome: pollenschema.Outcome_OUTCOME_NOT_RUN, Reason: reason, Detail: detail}
	close(e.done)
	return &Refusal{Outcome: pollenschema.Outcome_OUTCOME_NOT_RUN, Reason: reason, Detail: detail}
}

func (r *Register) addLocked(e *entry) *entry {
	e.done = make(chan struct{})
	r.entries[e.nonce] = e
	heap.Push(&r.expiry, e)
	return e
}

// forgetLocked drops expired entries; one that still runs stays until it has finished.
func (r *Register) forgetLocked(now time.Time) {
	for len(r.expiry) > 0 && !r.expiry[0].expiry.After(now) {
		e := r.expiry[0]
		if e.response == nil {
			e.expiry = now.Add(runningExtension)
			heap.Fix(&r.expiry, 0)
			continue
		}
		heap.Pop(&r.expiry)
		delete(r.entries, e.nonce)
		if e.refusal {
			r.refusals--
		} else {
			r.requests--
		}
	}
}

func (e *entry) wait(ctx context.Context, digest uint64) (*pollenschema.QueryResponse, error) {
	if e.digest != digest {
		return nil, unknown(pollenschema.Reason_REASON_DUPLICATE, "the id was used for another request")
	}
	select {
	case <-e.done:
		return e.response, nil
	case <-ctx.Done():
		return nil, unknown(pollenschema.Reason_REASON_DEADLINE, "the first copy is still running")
	}
}

// runningExtension keeps the entry of a request that outlives its id.
const runningExtension = time.Second

func unknown(reason pollenschema.Reason, detail string) *Refusal {
	return &Refusal{Outcome: pollenschema.Outcome_OUTCOME_UNKNOWN, Reason: reason, Detail: detail}
}

// expiryHeap orders entries by expiry.
type expiryHeap []*entry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expiry.Before(h[j].expiry) }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push is called by container/heap.
func (h *expiryHeap) Push(x any) { *h = append(*h, x.(*entry)) }

// Pop is called by container/heap.
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}
