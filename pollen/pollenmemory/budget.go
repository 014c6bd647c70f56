package pollenmemory

import (
	"cmp"
	"fmt"
	"sync"
	"sync/atomic"
)

// Config holds the limits of a Budget.
type Config struct {
	// LimitBytes is the number of bytes that all bodies together may take; zero means no limit.
	LimitBytes int64
	// SmallBytes is the size up to which a body is accepted even if the limit is reached; zero means DefaultSmallBytes.
	SmallBytes int64
}

// DefaultSmallBytes is the default of Config.SmallBytes: the answers of healthy servers are far smaller, and must not be lost because
// other servers send too much.
const DefaultSmallBytes = 64 << 10

// Budget counts the bytes of all bodies that an instance holds.
//
// Load pattern: many servers send bodies that do not end. Each would be cut only at the largest size of a single body, and
// together they would exceed the instance's memory long before.
type Budget struct {
	config Config
	used   atomic.Int64
}

// New returns a Budget of which nothing is used.
func New(config Config) *Budget {
	config.SmallBytes = cmp.Or(config.SmallBytes, DefaultSmallBytes)
	return &Budget{config: config}
}

// Used returns the number of bytes that are held.
func (b *Budget) Used() int64 { return b.used.Load() }

// NewAccount returns an Account for one caller's request.
func (b *Budget) NewAccount() *Account { return &Account{budget: b} }

// ExhaustedError reports a body that was not read to its end because the bodies held exceed the limit.
type ExhaustedError struct {
	// Held is the number of bytes that were held of the body.
	Held       int64
	LimitBytes int64
}

func (e *ExhaustedError) Error() string {
	return fmt.Sprintf("body given up after %d bytes: all bodies together exceed %d bytes", e.Held, e.LimitBytes)
}

// Account holds the bytes of all bodies that belong to one caller's request until the caller has its answer.
//
// A nil Account has no limit.
type Account struct {
	budget *Budget

	mu sync.Mutex
	// kept is the number of bytes that Close releases.
	kept   int64
	closed bool
}

// NewReservation returns a Reservation for a body of the request.
func (a *Account) NewReservation() *Reservation { return &Reservation{account: a} }

// Close releases the bytes of all bodies that were kept. Later bodies are released at once.
func (a *Account) Close() {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	a.budget.used.Add(-a.kept)
	a.kept = 0
}

// Reservation counts the bytes of one body while it is read.
type Reservation struct {
	account *Account
	bytes   int64
}

// Grow counts more bytes, and returns an *ExhaustedError if the body is not small and the limit would be exceeded.
func (r *Reservation) Grow(more int64) error {
	if r.account == nil {
		return nil
	}
	budget := r.account.budget
	used := budget.used.Add(more)
	if limit := budget.config.LimitBytes; limit > 0 && used > limit && r.bytes+more > budget.config.SmallBytes {
		budget.used.Add(-more)
		return &ExhaustedError{Held: r.bytes, LimitBytes: limit}
	}
	r.bytes += more
	return nil
}

// Bytes returns the number of bytes that are counted.
func (r *Reservation) Bytes() int64 { return r.bytes }

// Shrink gives some of the bytes back.
func (r *Reservation) Shrink(bytes int64) {
	if r.account == nil {
		return
	}
	r.account.budget.used.Add(-bytes)
	r.bytes -= bytes
}

// Release gives all bytes back, if the body is not used.
func (r *Reservation) Release() { r.Shrink(r.bytes) }

// Keep leaves the bytes counted until the account is closed.
func (r *Reservation) Keep() {
	if r.account == nil {
		return
	}
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	if r.account.closed {
		r.Release()
		return
	}
	r.account.kept += r.bytes
}
