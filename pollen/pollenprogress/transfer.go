package pollenprogress

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"
)

// Limits bound a transfer.
//
// Load pattern: many instances fetch the same large value over one link. With a bound on the whole transfer all of them give up what has
// arrived and begin anew, which loads the link further, so that none gets it.
type Limits struct {
	// First is how long the first byte may take.
	First time.Duration
	// Silence is how long no further byte may arrive.
	Silence time.Duration
	// Total bounds the time from the first byte to the last: what trickles is better fetched elsewhere.
	Total time.Duration
}

// TimeoutError reports a transfer that was ended by its limits.
type TimeoutError struct {
	// Received is the number of bytes that had arrived, Waited the time since the transfer began.
	Received int64
	Waited   time.Duration
}

func (e *TimeoutError) Error() string {
	return fmt.Sprintf("transfer not complete after %v and %d bytes", e.Waited, e.Received)
}

// Unwrap returns context.DeadlineExceeded.
func (e *TimeoutError) Unwrap() error { return context.DeadlineExceeded }

// Timeout reports that the error is a timeout, as in net.Error.
func (e *TimeoutError) Timeout() bool { return true }

// Transfer is a transfer in progress. Its methods may be called from any goroutine.
type Transfer struct {
	limits Limits
	start  time.Time
	cancel context.CancelCauseFunc
	notice func()

	mu       sync.Mutex
	timer    *time.Timer
	received int64
	// firstAt is when the first bytes arrived.
	firstAt time.Time
	ended   bool
}

// Start begins a transfer and returns a context that is done when the limits end it, with a *TimeoutError as the cause, or when End is
// called.
func Start(ctx context.Context, limits Limits) (context.Context, *Transfer) {
	notice, _ := ctx.Value(noticeKey{}).(func())
	ctx, cancel := context.WithCancelCause(ctx)
	t := &Transfer{limits: limits, start: time.Now(), cancel: cancel, notice: notice}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(limits.First, t.timeOut)
	return ctx, t
}

// Add records bytes that have arrived; none stands for a sign of life without any.
func (t *Transfer) Add(bytes int) {
	if t.notice != nil {
		t.notice()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.firstAt.IsZero() {
		t.firstAt = time.Now()
	}
	t.received += int64(bytes)
	if !t.ended {
		t.timer.Reset(min(t.limits.Silence, t.limits.Total-time.Since(t.firstAt)))
	}
}

// Reader returns a reader that records what is read from source.
func (t *Transfer) Reader(source io.Reader) io.Reader { return &reader{transfer: t, source: source} }

type reader struct {
	transfer *Transfer
	source   io.Reader
}

// Read implements io.Reader.
func (r *reader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	if n > 0 {
		r.transfer.Add(n)
	}
	return n, err
}

// End ends the transfer; bytes that arrive later have no effect.
func (t *Transfer) End() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ended = true
	t.timer.Stop()
	t.cancel(nil)
}

func (t *Transfer) timeOut() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended {
		return
	}
	t.ended = true
	t.cancel(&TimeoutError{Received: t.received, Waited: time.Since(t.start)})
}

type noticeKey struct{}

// WithNotice returns a context whose transfers call notice when bytes arrive.
func WithNotice(ctx context.Context, notice func()) context.Context {
	return context.WithValue(ctx, noticeKey{}, notice)
}
