package pollenteam

import (
	"errors"
	"time"

	"pollenline.example/pollen/pollencatalog"
	"pollenline.example/pollen/pollenforward"
)

// Quota limits the requests of teams.
type Quota interface {
	// TryAcquire admits one request of a team, or returns how long its caller should wait.
	TryAcquire(team *pollencatalog.Team, now time.Time) (retryAfter time.Duration, ok bool)
	// Refund returns what TryAcquire took for a request that has not run and will not run.
	Refund(team *pollencatalog.Team, now time.Time)
}

// Charge is what one request has taken of its team's quota. The zero value has taken nothing.
type Charge struct {
	quota Quota
	team  *pollencatalog.Team
}

// Acquire charges a request to its team, or returns an *OverQuotaError. Only teams with a rate are charged; the quota may be nil.
func Acquire(quota Quota, team *pollencatalog.Team, now time.Time) (Charge, error) {
	if quota == nil || team == nil || team.PerSecond <= 0 {
		return Charge{}, nil
	}
	if wait, ok := quota.TryAcquire(team, now); !ok {
		return Charge{}, &pollenforward.OverQuotaError{Team: team.Name, RetryAfter: wait}
	}
	return Charge{quota: quota, team: team}, nil
}

// Settle refunds the charge of a request that ended with err, if it has not run and will not run, or if another instance has
// charged it. The stats are nil if it was not served. The time is read only for a refund.
func (c Charge) Settle(stats *pollenforward.Stats, err error, now func() time.Time) {
	if c.quota == nil {
		return
	}
	unsent := stats == nil || stats.Sends == 0 && stats.Passes == 0
	if unsent || stats.ServedElsewhere || isRefusal(err) {
		c.quota.Refund(c.team, now())
	}
}

// isRefusal reports whether an error says that the request has not run and will not run.
func isRefusal(err error) bool {
	if err == nil {
		return false
	}
	var refused *pollenforward.RefusedError
	var overQuota *pollenforward.OverQuotaError
	return errors.As(err, &refused) || errors.As(err, &overQuota)
}
