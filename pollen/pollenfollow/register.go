package pollenfollow

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"pollenline.example/pollen/pollenstore"
)

// Writer writes keys with leases to the store.
type Writer interface {
	// Grant returns a new lease.
	Grant(ctx context.Context, duration time.Duration) (pollenstore.Lease, error)
	// Renew extends a lease by its duration from now.
	Renew(ctx context.Context, lease pollenstore.Lease) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, lease pollenstore.Lease) error
	// Put writes a key that is deleted with the lease.
	Put(ctx context.Context, key string, value []byte, lease pollenstore.Lease) error
}

// RegistrarConfig holds the parameters of a Registrar.
type RegistrarConfig struct {
	Writer Writer
	Key    string
	// Value returns the key's value; Rewrite must be called when it changes.
	Value func() ([]byte, error)
	// LeaseDuration is how long the key remains after its instance has died.
	LeaseDuration time.Duration
	// OnInterruption is called when a registered instance could not renew its lease for a time: when a renewal or a
	// rewrite of the key succeeds after one that failed, and when the store reports that the lease is gone. Failed
	// attempts to register don't lead to a call.
	OnInterruption func()
}

// Registrar keeps an instance's key in the store while the instance runs.
type Registrar struct {
	config  RegistrarConfig
	rewrite chan struct{}
}

// NewRegistrar returns a Registrar that writes nothing until Run is called.
func NewRegistrar(config RegistrarConfig) *Registrar {
	return &Registrar{config: config, rewrite: make(chan struct{}, 1)}
}

// renewalsPerLease is the duration of a lease in renewal intervals: after a renewal that fails at once, one more is sent
// before the lease expires, and a third at about its end.
const renewalsPerLease = 3

// revokeTimeout bounds the call that revokes the lease at shutdown.
const revokeTimeout = time.Second

// Rewrite makes the registrar write its key again; it is called when the key is missing from the store, or its value has changed.
func (r *Registrar) Rewrite() {
	select {
	case r.rewrite <- struct{}{}:
	default:
	}
}

// Run writes the key, renews its lease, and revokes the lease when ctx is done.
func (r *Registrar) Run(ctx context.Context) {
	for ctx.Err() == nil {
		lease, err := r.register(ctx)
		if err != nil {
			klog.ErrorS(err, "Registration failed", "key", r.config.Key)
			sleep(ctx, minRetryDelay+rand.N(minRetryDelay))
			continue
		}
		klog.InfoS("Instance registered", "key", r.config.Key, "lease", lease.ID, "duration", lease.Duration.String())
		r.keepLease(ctx, lease)
		if ctx.Err() != nil {
			r.revokeLease(lease)
		}
	}
}

// register writes the key under a new lease.
func (r *Registrar) register(ctx context.Context) (pollenstore.Lease, error) {
	lease, err := r.config.Writer.Grant(ctx, r.config.LeaseDuration)
	if err != nil {
		return lease, err
	}
	return lease, r.put(ctx, lease)
}

// put writes the key.
func (r *Registrar) put(ctx context.Context, lease pollenstore.Lease) error {
	value, err := r.config.Value()
	if err != nil {
		return err
	}
	return r.config.Writer.Put(ctx, r.config.Key, value, lease)
}

// keepLease renews the lease until it has expired or ctx is done, and writes the key again when asked to.
func (r *Registrar) keepLease(ctx context.Context, lease pollenstore.Lease) {
	var gone *pollenstore.LeaseGoneError
	failing := false
	timer := time.NewTimer(lease.Duration / renewalsPerLease)
	defer timer.Stop()
	for {
		var err error
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			err = r.config.Writer.Renew(ctx, lease)
		case <-r.rewrite:
			klog.InfoS("Instance key is missing or out of date, writing it again", "key", r.config.Key)
			err = r.put(ctx, lease)
		}
		if failing && err == nil || errors.As(err, &gone) {
			r.config.OnInterruption()
		}
		if errors.As(err, &gone) {
			klog.InfoS("Lease is gone", "lease", lease.ID)
			return
		}
		if err != nil && !failing && ctx.Err() == nil {
			klog.ErrorS(err, "Lease is not renewed", "lease", lease.ID)
		}
		failing = err != nil
		timer.Reset(lease.Duration / renewalsPerLease)
	}
}

// revokeLease revokes the lease, so that the key is deleted before the lease would expire.
func (r *Registrar) revokeLease(lease pollenstore.Lease) {
	ctx, cancel := context.WithTimeout(context.Background(), revokeTimeout)
	defer cancel()
	if err := r.config.Writer.Revoke(ctx, lease); err != nil {
		klog.ErrorS(err, "Lease not revoked, it will expire", "lease", lease.ID)
	}
}
