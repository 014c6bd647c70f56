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

// HandlerConfig configures the HTTP side of a store.
type HandlerConfig struct {
	Store *Store
	// WritesPerSecond and ReadsPerSecond are the service's limits; a watch counts as a read.
	WritesPerSecond float64
	ReadsPerSecond  float64
}

// PathFaults takes Faults as JSON, and PathCalls returns the calls counted.
const (
	PathFaults = "/stand-in/faults"
	PathCalls  = "/stand-in/calls"
)

// NewHandler serves a store by the platform's protocol.
func NewHandler(config HandlerConfig) http.Handler {
	store := config.Store
	writes := rate.NewLimiter(rate.Limit(config.WritesPerSecond), int(config.WritesPerSecond))
	reads := rate.NewLimiter(rate.Limit(config.ReadsPerSecond), int(config.ReadsPerSecond))
	mux := http.NewServeMux()
	handle(mux, pollenstore.PathGet, reads, func(ctx context.Context, r pollenstore.KeyRequest) (any, error) {
		return store.Get(ctx, r.Key)
	})
	handle(mux, pollenstore.PathList, reads, func(ctx context.Context, r pollenstore.KeyRequest) (any, error) {
		return store.List(ctx, r.Key)
	})
	handle(mux, pollenstore.PathWatch, reads, func(ctx context.Context, r pollenstore.WatchRequest) (any, error) {
		return store.Watch(ctx, r.Prefix, r.After, r.Wait)
	})
	handle(mux, pollenstore.PathSwap, writes, func(ctx context.Context, r pollenstore.Swap) (any, error) {
		version, err := store.CompareAndSwap(ctx, r)
		return pollenstore.Entry{Version: version}, err
	})
	handle(mux, pollenstore.PathGrant, writes, func(ctx context.Context, r pollenstore.LeaseRequest) (any, error) {
		return store.Grant(ctx, r.Duration)
	})
	handle(mux, pollenstore.PathRenew, writes, func(ctx context.Context, r pollenstore.LeaseRequest) (any, error) {
		return pollenstore.Lease{ID: r.ID}, store.Renew(ctx, r.ID)
	})
	handle(mux, pollenstore.PathRevoke, writes, func(ctx context.Context, r pollenstore.LeaseRequest) (any, error) {
		return pollenstore.Lease{ID: r.ID}, store.Revoke(ctx, r.ID)
	})
	unlimited := rate.NewLimiter(rate.Inf, 0)
	handle(mux, PathFaults, unlimited, func(_ context.Context, faults Faults) (any, error) {
		store.SetFaults(faults)
		return faults, nil
	})
	handle(mux, PathCalls, unlimited, func(context.Context, struct{}) (any, error) {
		return store.Calls(), nil
	})
	return mux
}

// maximumRequestBytes leaves room for a value of a megabyte as base64.
const maximumRequestBytes = 2 << 20

// limitWait is how long a call may wait for its turn before it is refused.
const limitWait = 20 * time.Millisecond

func handle[R any](mux *http.ServeMux, path string, limiter *rate.Limiter, call func(context.Context, R) (any, error)) {
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		wait, cancel := context.WithTimeout(r.Context(), limitWait)
		defer cancel()
		if limiter.Wait(wait) != nil {
			w.WriteHeader(pollenstore.StatusRateLimited)
			return
		}
		var request R
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maximumRequestBytes)).Decode(&request); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		answer, err := call(r.Context(), request)
		write(w, answer, err)
	})
}

func write(w http.ResponseWriter, answer any, err error) {
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
	// A caller that has gone away has no use for the answer.
	_ = json.NewEncoder(w).Encode(answer)
}
