package pollenfollow

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"pollenline.example/pollen/pollenstore"
)

// Writer keeps a leased key in the store.
type Writer interface {
	Grant(ctx context.Context, duration time.Duration) (pollenstore.Lease, error)
	Renew(ctx context.Context, id uint64) error
	Revoke(ctx context.Context, id uint64) error
	Put(ctx context.Context, key string, value []byte, lease uint64) error
}

// RegistrarConfig configures a Registrar.
type RegistrarConfig struct {
	Writer Writer
	Key    string
	Value  []byte
	// Lease is how long the key outlives an instance that has died.
	Lease time.Duration
	// Regained is called when a call succeeds after others have failed.
	Regained func()
}

// Registrar keeps an instance's key in the store while the instance lives.
type Registrar struct {
	config  RegistrarConfig
	rewrite chan struct{}
}

// NewRegistrar returns a Registrar that has not begun.
func NewRegistrar(config RegistrarConfig) *Registrar {
	return &Registrar{config: config, rewrite: make(chan struct{}, 1)}
}

// renewals is the number of renewals in the duration of a lease, so that two may be lost.
const renewals = 3

// endTimeout bounds the call that ends the lease at shutdown.
const endTimeout = time.Second

// Rewrite makes the registrar write its key again, after the store was seen to have lost it.
func (r *Registrar) Rewrite() {
	select {
	case r.rewrite <- struct{}{}:
	default:
	}
}

// Run writes the key, renews its lease and ends it when ctx is done.
func (r *Registrar) Run(ctx context.Context) {
	for ctx.Err() == nil {
		lease, err := r.register(ctx)
		if err != nil {
			klog.ErrorS(err, "Instance is not registered", "key", r.config.Key)
			sleep(ctx, firstDelay+rand.N(firstDelay))
			continue
		}
		klog.InfoS("Instance registered", "key", r.config.Key, "lease", lease.ID, "duration", lease.Duration.String())
		r.keep(ctx, lease)
		if ctx.Err() != nil {
			r.end(lease)
		}
	}
}

func (r *Registrar) register(ctx context.Context) (pollenstore.Lease, error) {
	lease, err := r.config.Writer.Grant(ctx, r.config.Lease)
	if err != nil {
		return lease, err
	}
	return lease, r.config.Writer.Put(ctx, r.config.Key, r.config.Value, lease.ID)
}

// keep renews the lease until it is gone or ctx is done.
func (r *Registrar) keep(ctx context.Context, lease pollenstore.Lease) {
	var gone *pollenstore.LeaseGoneError
	failing := false
	timer := time.NewTimer(lease.Duration / renewals)
	defer timer.Stop()
	for {
		var err error
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			err = r.config.Writer.Renew(ctx, lease.ID)
		case <-r.rewrite:
			klog.InfoS("Instance's key is missing, writing it again", "key", r.config.Key)
			err = r.config.Writer.Put(ctx, r.config.Key, r.config.Value, lease.ID)
		}
		if failing && err == nil || errors.As(err, &gone) {
			r.config.Regained()
		}
		if errors.As(err, &gone) {
			klog.InfoS("Lease is gone", "lease", lease.ID)
			return
		}
		if err != nil && !failing && ctx.Err() == nil {
			klog.ErrorS(err, "Lease is not renewed", "lease", lease.ID)
		}
		failing = err != nil
		timer.Reset(lease.Duration / renewals)
	}
}

func (r *Registrar) end(lease pollenstore.Lease) {
	ctx, cancel := context.WithTimeout(context.Background(), endTimeout)
	defer cancel()
	if err := r.config.Writer.Revoke(ctx, lease.ID); err != nil {
		klog.ErrorS(err, "Lease is left to expire", "lease", lease.ID)
	}
}
