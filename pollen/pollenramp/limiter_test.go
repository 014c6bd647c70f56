package pollenramp

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollenline.example/pollen/pollencatalog"
)

var start = time.Unix(1_000_000, 0)

// table returns a table with a service whose cold servers tolerate rate requests per second.
func table(rate float64, instances int) *pollencatalog.Table {
	config := pollencatalog.TableConfig{Configuration: &pollencatalog.Configuration{
		Services: map[string]pollencatalog.Service{"s": {ColdRate: rate}},
	}}
	for n := range instances {
		config.Instances = append(config.Instances, pollencatalog.Instance{Name: fmt.Sprintf("entry-%d", n)})
	}
	return pollencatalog.NewTable(config)
}

func coldServer(id string) *pollencatalog.Server {
	return &pollencatalog.Server{ID: id, Service: "s", Address: netip.MustParseAddrPort("10.0.0.1:80"), ColdUntil: start.Add(time.Minute)}
}

// Load pattern: nine instances try to send 20 requests per second each to a cold server that tolerates a few. In no
// second may it get more than one and a half times its rate plus five, even while the instances disagree on their list.
func TestColdServerStaysWithinRate(t *testing.T) {
	tests := []struct {
		name string
		rate float64
		// unaware is the number of instances whose table lists no instances.
		unaware int
	}{
		{"two a second", 2, 0}, {"ten a second", 10, 0}, {"half a second", 0.5, 0}, {"instances disagree", 20, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			const instances = 9
			fullTable, server := table(test.rate, instances), coldServer("i-1")
			tableWithoutInstances := table(test.rate, 0)
			var limiters []*ColdLimiter
			for n := range instances {
				limiters = append(limiters, New(Config{InstanceName: fmt.Sprintf("entry-%d", n)}))
			}
			var sent []time.Time
			for now := start; now.Before(start.Add(20 * time.Second)); now = now.Add(50 * time.Millisecond) {
				for n, l := range limiters {
					knownTable := fullTable
					if n < test.unaware {
						knownTable = tableWithoutInstances
					}
					if l.TryAcquire(server, knownTable, now) {
						sent = append(sent, now)
					}
				}
			}
			c.Assert(len(sent) > 5, qt.IsTrue)
			for i := range sent {
				sentInSecond := 0
				for _, other := range sent[i:] {
					if other.Sub(sent[i]) < time.Second {
						sentInSecond++
					}
				}
				c.Assert(float64(sentInSecond) <= test.rate*1.5+5, qt.IsTrue, qt.Commentf("%d in a second", sentInSecond))
			}
		})
	}
}

// Warm servers, and cold ones without a stated rate, must not be limited.
func TestServersWithoutColdRateAreUnlimited(t *testing.T) {
	warm := coldServer("i-1")
	warm.ColdUntil = time.Time{}
	tests := []struct {
		name   string
		server *pollencatalog.Server
		rate   float64
	}{
		{"warm", warm, 1}, {"cold without a stated rate", coldServer("i-1"), 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := New(Config{InstanceName: "entry-0"})
			for range 100 {
				qt.Assert(t, l.TryAcquire(test.server, table(test.rate, 9), start), qt.IsTrue)
			}
		})
	}
}

// Cold servers must be spread evenly over the instances that send to them.
func TestSendersAreSpread(t *testing.T) {
	counts := make(map[string]int)
	for n := range 900 {
		counts[Sender(table(1, 9).Instances(), coldServer(fmt.Sprintf("i-%d", n)))]++
	}
	for name, count := range counts {
		qt.Assert(t, count > 60 && count < 150, qt.IsTrue, qt.Commentf("%s: %d", name, count))
	}
}
