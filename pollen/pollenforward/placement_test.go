package pollenforward

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollenline.example/pollen/pollengate"
)

// Guards against an explanation that differs from what a request does, and against one that changes what later requests do.
func TestPlacementMatchesNextRequest(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T) {
		c := qt.New(t)
		h := newHarness(1, 100)
		route := unshardedRoute(true)
		h.exchanger.behaviour["a0"] = behaviour{delay: 10 * time.Millisecond}
		h.exchanger.behaviour["b0"] = behaviour{delay: 10 * time.Millisecond}
		for range 10 {
			_, _, _, err := h.serve(t.Context(), route)
			c.Assert(err, qt.IsNil)
		}
		before := h.forwarder.Place(route, time.Now())
		counts := h.ranking.Counts()
		for range 1000 {
			h.forwarder.Place(route, time.Now())
		}
		c.Assert(h.forwarder.Place(route, time.Now()), qt.DeepEquals, before)
		c.Assert(h.ranking.Counts(), qt.Equals, counts)
		c.Assert(before.Outcome, qt.Equals, OutcomeSent)
		total := 0.0
		for _, s := range before.Services[0].Servers {
			total += s.Probability
		}
		c.Assert(total > 0.999 && total < 1.001, qt.IsTrue)

		for _, server := range h.table.ServersOf(service(0)) {
			if server.ID == "a0" {
				h.forwarder.config.Gate.RecordAnswer(server, true, 0, time.Now())
			}
		}
		placement := h.forwarder.Place(route, time.Now())
		for _, s := range placement.Services[0].Servers {
			want := map[string]string{"a0": pollengate.Leaving.String(), "b0": ""}[s.ID]
			c.Assert(s.HeldBack, qt.Equals, want)
		}
		sent := h.exchanger.sentTo("a0")
		_, _, _, err := h.serve(t.Context(), route)
		c.Assert(err, qt.IsNil)
		c.Assert(h.exchanger.sentTo("a0"), qt.Equals, sent)

		for _, server := range h.table.ServersOf(service(0)) {
			h.forwarder.config.Gate.RecordAnswer(server, false, 20*time.Second, time.Now())
		}
		c.Assert(h.forwarder.Place(route, time.Now()).Outcome, qt.Equals, OutcomeRefused)
		_, _, _, err = h.serve(t.Context(), route)
		c.Assert(err, qt.ErrorAs, new(*RefusedError))
	})
}
