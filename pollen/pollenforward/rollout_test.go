package pollenforward

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollenline.example/pollen/pollencatalog"
	"pollenline.example/pollen/pollenrollout"
)

// TestVersionsDecideServers guards against a hedge or a retry that goes to a new version under test, against requests to a version that no
// order has named, and against former servers that get requests after the end.
func TestVersionsDecideServers(t *testing.T) {
	tests := []struct {
		name    string
		ordered bool
		state   string
		share   float64
		// toFormer and toTarget are the least and the most requests that servers of the versions get of 40.
		toFormer, toTarget [2]int
	}{
		{"no order", false, "", 0, [2]int{40, 80}, [2]int{0, 0}},
		{"order without a state", true, "", 0, [2]int{40, 80}, [2]int{0, 0}},
		{"canary", true, "Canary", 0.25, [2]int{30, 70}, [2]int{5, 10}},
		{"all to the target", true, "Widening", 1, [2]int{0, 0}, [2]int{40, 80}},
		{"completed", true, "Completed", 1, [2]int{0, 0}, [2]int{40, 80}},
		{"rolled back", true, "RolledBack", 0, [2]int{40, 80}, [2]int{0, 0}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runInVirtualTime(t, func(t *testing.T) {
				c := qt.New(t)
				h := newHarness(1, 100)
				config := pollencatalog.TableConfig{Configuration: h.table.Configuration(), Instances: h.table.Instances()}
				for _, id := range []string{"a0", "b0"} {
					for _, version := range []string{"v1", "v2"} {
						for _, s := range h.table.ServersOf(service(0)) {
							if s.ID == id {
								server := *s
								server.ID, server.Version = s.ID+version, version
								config.Servers = append(config.Servers, &server)
								h.exchanger.behaviour[server.ID] = behaviour{delay: 10 * time.Millisecond}
							}
						}
					}
				}
				if test.ordered {
					config.RolloutOrders = []*pollencatalog.RolloutOrder{{Service: service(0), Target: "v2", Revision: 3}}
				}
				state := pollencatalog.RolloutState{Service: service(0), OrderRevision: 3, Target: "v2", Former: []string{"v1"}, State: test.state, Share: test.share, Step: 1, Deadline: time.Now().Add(time.Minute)}
				if test.state != "" {
					config.RolloutStates = []*pollencatalog.RolloutState{&state}
				}
				// The servers b refuse requests, which leads to retries and is no evidence against their version.
				for _, id := range []string{"b0v1", "b0v2"} {
					h.exchanger.behaviour[id] = behaviour{err: &NotRunError{Server: id, Status: 503}}
				}
				router := pollenrollout.NewRouter(pollenrollout.RouterConfig{Policy: pollenrollout.Policy{Share: 1, Slack: 100, RollbackDelay: time.Minute}, Instance: "entry-1"})
				h.forwarder.config.Rollouts = router
				h.table = pollencatalog.NewTable(config)
				router.Observe(h.table, time.Now())
				router.Follow(pollenrollout.Ruling{Service: service(0)}, time.Now())
				for _, server := range config.Servers {
					got := map[string][2]int{"v1": test.toFormer, "v2": test.toTarget}[server.Version]
					c.Check(router.Admits(server, h.table, time.Now()), qt.Equals, got[1] > 0, qt.Commentf(server.ID))
				}
				for range 40 {
					_, _, _, err := h.serve(t.Context(), unshardedRoute(true))
					c.Check(err, qt.IsNil)
				}
				former := h.exchanger.sentTo("a0v1") + h.exchanger.sentTo("b0v1")
				target := h.exchanger.sentTo("a0v2") + h.exchanger.sentTo("b0v2")
				t.Logf("%d to the former version, %d to the target", former, target)
				c.Check(former >= test.toFormer[0] && former <= test.toFormer[1], qt.IsTrue)
				c.Check(target >= test.toTarget[0] && target <= test.toTarget[1], qt.IsTrue)
			})
		})
	}
}
