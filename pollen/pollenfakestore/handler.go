package pollenfakestore

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"pollenline.example/pollen/pollenstore"
)

// HandlerConfig holds the store that a handler serves and its rate limits.
type HandlerConfig struct {
	Store *Store
	// WritesPerSecond limits writes and calls for leases, with a burst of one second's calls.
	WritesPerSecond float64
	// ReadsPerSecond limits reads, with a burst of one second's calls; a watch counts as a read.
	ReadsPerSecond float64
}

const (
	// PathFaults is the HTTP path that accepts Faults as JSON.
	PathFaults = "/stand-in/faults"
	// PathCalls is the HTTP path that returns the number of calls by their name.
	PathCalls = "/stand-in/calls"
)

// NewHandler returns a handler of the HTTP calls of package pollenstore and of the control paths.
func NewHandler(config HandlerConfig) http.Handler {
	store := config.Store
	writes := rate.NewLimiter(rate.Limit(config.WritesPerSecond), int(config.WritesPerSecond))
	reads := rate.NewLimiter(rate.Limit(config.ReadsPerSecond), int(config.ReadsPerSecond))
	mux := http.NewServeMux()
	handleCall(mux, pollenstore.PathGet, reads, func(ctx context.Context, r pollenstore.KeyRequest) (any, error) {
		return store.Get(ctx, r.Key)
	})
	handleCall(mux, pollenstore.PathList, reads, func(ctx context.Context, r pollenstore.KeyRequest) (any, error) {
		return store.List(ctx, r.Key)
	})
	handleCall(mux, pollenstore.PathWatch, reads, func(ctx context.Context, r pollenstore.WatchRequest) (any, error) {
		return store.Watch(ctx, r.Prefix, r.After, r.Wait)
	})
	handleCall(mux, pollenstore.PathSwap, writes, func(ctx context.Context, r pollenstore.Swap) (any, error) {
		version, err := store.CompareAndSwap(ctx, r)
		return pollenstore.Entry{Version: version}, err
	})
	handleCall(mux, pollenstore.PathGrant, writes, func(ctx context.Context, r pollenstore.LeaseRequest) (any, error) {
		return store.Grant(ctx, r.Duration)
	})
	handleCall(mux, pollenstore.PathRenew, writes, func(ctx context.Context, r pollenstore.LeaseRequest) (any, error) {
		return pollenstore.Lease{ID: r.ID}, store.Renew(ctx, r.ID)
	})
	handleCall(mux, pollenstore.PathRevoke, writes, func(ctx context.Context, r pollenstore.LeaseRequest) (any, error) {
		return pollenstore.Lease{ID: r.ID}, store.Revoke(ctx, r.ID)
	})
	unlimited := rate.NewLimiter(rate.Inf, 0)
	handleCall(mux, PathFaults, unlimited, func(_ context.Context, faults Faults) (any, error) {
		store.SetFaults(faults)
		return faults, nil
	})
	handleCall(mux, PathCalls, unlimited, func(context.Context, struct{}) (any, error) {
		return store.Calls(), nil
	})
	return mux
}

// maxRequestBytes bounds a request's body; it allows for a value of 1 MiB in base64.
const maxRequestBytes = 2 << 20

// rateLimitTimeout is how long a call may wait for the rate limiter before it is refused.
const rateLimitTimeout = 20 * time.Millisecond

// handleCall registers a call; one that exceeds the rate limit waits for rateLimitTimeout at most and is then refused.
func handleCall[R any](mux *http.ServeMux, path string, limiter *rate.Limiter, call func(context.Context, R) (any, error)) {
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		limiterCtx, cancel := context.WithTimeout(r.Context(), rateLimitTimeout)
		defer cancel()
		if limiter.Wait(limiterCtx) != nil {
			w.WriteHeader(pollenstore.StatusRateLimited)
			return
		}
		var request R
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&request); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		answer, err := call(r.Context(), request)
		writeAnswer(w, answer, err)
	})
}

// writeAnswer writes an answer, or an error of the store's protocol as JSON under its own HTTP status.
func writeAnswer(w http.ResponseWriter, answer any, err error) {
	status := http.StatusOK
	var conflict *pollenstore.ConflictError
	var gone *pollenstore.LeaseGoneError
	var compacted *pollenstore.CompactedError
	switch {
	case err == nil:
	case errors.As(err, &conflict):
		status, answer = pollenstore.StatusConflict, conflict
	case errors.As(err, &gone):
		status, answer = pollenstore.StatusLeaseGone, gone
	case errors.As(err, &compacted):
		status, answer = pollenstore.StatusCompacted, compacted
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// Encoding fails only if the client has disconnected.
	_ = json.NewEncoder(w).Encode(answer)
}
