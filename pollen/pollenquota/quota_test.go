package pollenquota

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollenline.example/pollen/pollencatalog"
)

var start = time.Unix(1_000_000, 0)

func testServer(id string) *pollencatalog.Server {
	return &pollencatalog.Server{ID: id, Service: "s", Address: netip.MustParseAddrPort("10.0.0.1:80")}
}

func testTable(instances int) *pollencatalog.Table {
	config := pollencatalog.TableConfig{Servers: []*pollencatalog.Server{testServer("i-1")}}
	for n := range instances {
		config.Instances = append(config.Instances, pollencatalog.Instance{Name: fmt.Sprintf("entry-%d", n)})
	}
	return pollencatalog.NewTable(config)
}

// Load pattern: all instances have sent nothing for a while, and then try to send every ten milliseconds. Guards against shares
// that add up to more than the server takes, after a pause or in the long run.
func TestSharesStayWithinLimitTogether(t *testing.T) {
	tests := []struct {
		name      string
		instances int
		perSecond float64
		// standbys is the number of instances that are not registered.
		standbys int
	}{
		{name: "no requests", instances: 15, perSecond: 0},
		{name: "one request a second", instances: 15, perSecond: 1.2},
		{name: "many instances", instances: 300, perSecond: 2},
		{name: "two instances", instances: 2, perSecond: 3},
		{name: "large limit", instances: 9, perSecond: 300},
		{name: "one standby", instances: 8, perSecond: 5, standbys: 1},
		{name: "many standbys", instances: 6, perSecond: 2.7, standbys: 84},
		{name: "hundreds of standbys", instances: 15, perSecond: 1.2, standbys: 280},
		{name: "no instance is registered", instances: 0, perSecond: 5, standbys: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			table, server := testTable(test.instances), testServer("i-1")
			var all []*Quotas
			for n := range test.instances + test.standbys {
				q := New(Config{InstanceName: fmt.Sprintf("entry-%d", n), Standbys: func() int { return test.standbys }})
				q.RecordAnswer(server, Limit{Stated: true, PerSecond: test.perSecond}, table, start, start)
				all = append(all, q)
			}
			const pause, runTime, period = 50 * time.Second, 60 * time.Second, 4 * time.Second
			var sent []time.Time
			for now := start.Add(pause); now.Before(start.Add(pause + runTime)); now = now.Add(10 * time.Millisecond) {
				for _, q := range all {
					if q.TryAcquire(server, false, table, now) {
						sent = append(sent, now)
					}
				}
			}
			for i := range sent {
				n := 0
				for n < len(sent)-i && sent[i+n].Sub(sent[i]) < period {
					n++
				}
				c.Assert(float64(n) <= 1.5*test.perSecond*period.Seconds()+5, qt.IsTrue, qt.Commentf("%d requests in %v", n, period))
			}
			c.Assert(float64(len(sent)) >= 0.8*test.perSecond*runTime.Seconds(), qt.IsTrue, qt.Commentf("%d requests in %v", len(sent), runTime))
			c.Assert(len(sent) > 5, qt.IsTrue)
		})
	}
}

// Guards against answers that arrive out of order, and answers of a former incarnation, that end or set a limit.
func TestNewestAnswerDecidesLimit(t *testing.T) {
	stated := Limit{Stated: true, PerSecond: 1}
	restarted := testServer("i-1")
	restarted.StartedAt = start
	type answer struct {
		server   *pollencatalog.Server
		limit    Limit
		sentAt   time.Duration
		received time.Duration
	}
	tests := []struct {
		name    string
		answers []answer
		limited bool
	}{
		{name: "never stated", answers: []answer{{testServer("i-1"), Limit{}, 0, 1}}},
		{name: "stated", answers: []answer{{testServer("i-1"), stated, 0, 1}}, limited: true},
		{name: "no longer stated", answers: []answer{{testServer("i-1"), stated, 0, 1}, {testServer("i-1"), Limit{}, 2, 3}}},
		{name: "slow answer of before", answers: []answer{{testServer("i-1"), stated, 2, 3}, {testServer("i-1"), Limit{}, 1, 4}}, limited: true},
		{name: "stated again", answers: []answer{{testServer("i-1"), stated, 0, 1}, {testServer("i-1"), Limit{}, 2, 3}, {testServer("i-1"), stated, 4, 5}}, limited: true},
		{name: "restarted server", answers: []answer{{restarted, stated, 0, 1}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			q, table := New(Config{InstanceName: "entry-0", Standbys: func() int { return 0 }}), testTable(1)
			for _, a := range test.answers {
				q.RecordAnswer(a.server, a.limit, table, start.Add(a.sentAt), start.Add(a.received))
			}
			c.Assert(q.NextSend(testServer("i-1"), table, start.Add(6)).After(start.Add(6)), qt.Equals, test.limited)
			q.Prune(pollencatalog.NewTable(pollencatalog.TableConfig{}))
			c.Assert(q.LimitedServers(), qt.Equals, 0)
		})
	}
}
