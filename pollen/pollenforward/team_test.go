package pollenforward

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollenline.example/pollen/pollencatalog"
	"pollenline.example/pollen/pollendrain"
	"pollenline.example/pollen/pollenreach"
)

// fixedPasser passes nothing on and returns the same result.
type fixedPasser struct {
	err   error
	calls int
}

func (p *fixedPasser) Pass(context.Context, pollencatalog.Instance, *Request, time.Time) (*Reply, error) {
	p.calls++
	return &Reply{}, p.err
}

// Guards against refunds of requests that no other instance has charged, against asking one instance after another for a team
// that is over its quota, and against "not run" for a request that may have run here before it was passed on.
func TestPassedRequestIsChargedOnce(t *testing.T) {
	overQuota := &OverQuotaError{Team: "a"}
	tests := []struct {
		name       string
		err        error
		mayHaveRun bool
		want       error
		calls      int
		served     bool
	}{
		{"served", nil, false, nil, 1, true},
		{"failed there", &FailedError{}, false, &FailedError{}, 1, true},
		{"over quota there", overQuota, false, overQuota, 1, false},
		{"over quota there, and may have run here", overQuota, true, &FailedError{}, 1, false},
		{"refused there", &RefusedError{}, false, &RefusedError{}, 2, false},
		{"not sent", &UnsentError{}, true, &FailedError{}, 2, false},
		{"not known whether it arrived", &NoAnswerError{}, false, &FailedError{}, 1, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			passer := &fixedPasser{err: test.err}
			end := time.Now().Add(time.Minute)
			call := &call{open: &pollendrain.OpenRequest{}, stats: &Stats{}, request: &Request{}, schedule: Schedule{End: end, CallerDeadline: end}, forwarder: New(Config{
				Passer: passer, Peers: pollenreach.NewPeers(rand.New(rand.NewPCG(1, 2))),
				Others: func() []pollencatalog.Instance { return []pollencatalog.Instance{{Name: "b"}, {Name: "c"}} },
			})}
			_, err := call.pass(t.Context(), nil, test.mayHaveRun)
			c.Assert(fmt.Sprintf("%T", err), qt.Equals, fmt.Sprintf("%T", test.want))
			c.Assert(errors.Is(err, overQuota), qt.Equals, test.want == error(overQuota))
			c.Assert(passer.calls, qt.Equals, test.calls)
			c.Assert(call.stats.ServedElsewhere, qt.Equals, test.served)
		})
	}
}

// Guards against a team whose urgency is that of the route, and against the most urgent place for a team that states none.
func TestPriorityOfTeamGoesBeforeRoute(t *testing.T) {
	route := &pollencatalog.Route{Priority: 2}
	tests := []struct {
		name string
		team *pollencatalog.Team
		want int
	}{
		{"no team", nil, 2},
		{"more urgent", &pollencatalog.Team{Priority: 0}, 0},
		{"less urgent", &pollencatalog.Team{Priority: 5}, 5},
		{"not stated", &pollencatalog.Team{RoutePriority: true}, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, (&Request{Team: test.team}).priority(route), qt.Equals, test.want)
		})
	}
}
