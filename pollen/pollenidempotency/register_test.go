package pollenidempotency_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"pollenline.example/pollen/pollenidempotency"
	"pollenline.example/pollen/pollenmessage"
	"pollenline.example/pollen/pollenschema"
)

// id returns the ID of a request to the incarnation "one" that expires after the lifetime.
func id(nonce string, lifetime time.Duration) pollenmessage.RequestID {
	return pollenmessage.RequestID{Incarnation: "one", Nonce: nonce, Expiry: time.Now().Add(lifetime)}
}

// TestDuplicateWaitsForResponse guards against running a duplicate while its first copy is still running.
func TestDuplicateWaitsForResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		register := pollenidempotency.NewRegister(pollenidempotency.Config{Incarnation: "one", Capacity: 10})
		first, err := register.Begin(context.Background(), id("a", time.Second), 1)
		c.Assert(err, qt.IsNil)
		c.Assert(first.Permit, qt.IsNotNil)
		go func() {
			time.Sleep(100 * time.Millisecond)
			first.Permit.Finish(&pollenschema.QueryResponse{Detail: "first"})
		}()
		second, err := register.Begin(context.Background(), id("a", time.Second), 1)
		c.Assert(err, qt.IsNil)
		c.Check(second.Permit, qt.IsNil)
		c.Check(second.Response.Detail, qt.Equals, "first")
	})
}

// TestRefusalReasons guards against reporting OUTCOME_NOT_RUN for a request that may have run before.
func TestRefusalReasons(t *testing.T) {
	tests := []struct {
		name    string
		id      func() pollenmessage.RequestID
		digest  uint64
		outcome pollenschema.Outcome
		reason  pollenschema.Reason
	}{
		{"other incarnation", func() pollenmessage.RequestID {
			return pollenmessage.RequestID{Incarnation: "two", Nonce: "b", Expiry: time.Now().Add(time.Second)}
		}, 1, pollenschema.Outcome_OUTCOME_UNKNOWN, pollenschema.Reason_REASON_INCARNATION_GONE},
		{"expired", func() pollenmessage.RequestID { return id("b", -time.Second) }, 1, pollenschema.Outcome_OUTCOME_UNKNOWN, pollenschema.Reason_REASON_EXPIRED},
		{"far ahead", func() pollenmessage.RequestID { return id("b", time.Hour) }, 1, pollenschema.Outcome_OUTCOME_NOT_RUN, pollenschema.Reason_REASON_INVALID},
		{"full", func() pollenmessage.RequestID { return id("b", time.Second) }, 1, pollenschema.Outcome_OUTCOME_NOT_RUN, pollenschema.Reason_REASON_OVERLOAD},
		{"same id for another request", func() pollenmessage.RequestID { return id("a", time.Second) }, 2, pollenschema.Outcome_OUTCOME_UNKNOWN, pollenschema.Reason_REASON_DUPLICATE},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			register := pollenidempotency.NewRegister(pollenidempotency.Config{Incarnation: "one", Capacity: 1})
			_, err := register.Begin(context.Background(), id("a", time.Minute), 1)
			c.Assert(err, qt.IsNil)
			_, err = register.Begin(context.Background(), test.id(), test.digest)
			var refusal *pollenidempotency.Refusal
			c.Assert(err, qt.ErrorAs, &refusal)
			c.Check(refusal.Outcome, qt.Equals, test.outcome)
			c.Check(refusal.Reason, qt.Equals, test.reason)
		})
	}
}

// TestDuplicateOfRefusedRequestIsRefused guards against running a duplicate of a refused request once there is capacity.
func TestDuplicateOfRefusedRequestIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		register := pollenidempotency.NewRegister(pollenidempotency.Config{Incarnation: "one", Capacity: 1})
		first, err := register.Begin(context.Background(), id("a", time.Second), 1)
		c.Assert(err, qt.IsNil)
		refused := id("b", 30*time.Second)
		_, err = register.Begin(context.Background(), refused, 1)
		c.Assert(err, qt.IsNotNil)
		first.Permit.Finish(&pollenschema.QueryResponse{})
		time.Sleep(2 * time.Second)
		duplicate, err := register.Begin(context.Background(), refused, 1)
		c.Assert(err, qt.IsNil)
		c.Check(duplicate.Permit, qt.IsNil)
		c.Check(duplicate.Response.Outcome, qt.Equals, pollenschema.Outcome_OUTCOME_NOT_RUN)
	})
}

// TestExpiredRequestsAreRemoved guards against unbounded memory and against running a request after its ID has expired.
func TestExpiredRequestsAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		register := pollenidempotency.NewRegister(pollenidempotency.Config{Incarnation: "one", Capacity: 2})
		expired := id("a", time.Second)
		first, err := register.Begin(context.Background(), expired, 1)
		c.Assert(err, qt.IsNil)
		first.Permit.Finish(&pollenschema.QueryResponse{})
		time.Sleep(2 * time.Second)
		_, err = register.Begin(context.Background(), expired, 1)
		var refusal *pollenidempotency.Refusal
		c.Assert(err, qt.ErrorAs, &refusal)
		c.Check(refusal.Outcome, qt.Equals, pollenschema.Outcome_OUTCOME_UNKNOWN)
		requests, refusals := register.Len()
		c.Check(requests+refusals, qt.Equals, 0)
	})
}
