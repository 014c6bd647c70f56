package pollenforward

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollenline.example/pollen/pollencatalog"
)

func TestNewSchedule(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name      string
		timeout   time.Duration
		objective time.Duration
		patience  time.Duration
		typical   time.Duration
		room      time.Duration
		hedge     time.Duration
		seal      time.Duration
		end       time.Duration
		limit     time.Duration
	}{
		{"usual", 1000 * ms, 100 * ms, 1000 * ms, 20 * ms, 15 * ms, 20 * ms, 74 * ms, 980 * ms, 1000 * ms},
		{"nothing known yet", 1000 * ms, 100 * ms, 1000 * ms, 0, 15 * ms, 40 * ms, 74 * ms, 980 * ms, 1000 * ms},
		{"very quick servers", 1000 * ms, 100 * ms, 1000 * ms, ms, 15 * ms, 8 * ms, 74 * ms, 980 * ms, 1000 * ms},
		{"all servers slow", 1000 * ms, 100 * ms, 1000 * ms, 300 * ms, 15 * ms, 40 * ms, 74 * ms, 980 * ms, 1000 * ms},
		{"timeout before the deadline", 400 * ms, 100 * ms, 8000 * ms, 20 * ms, 15 * ms, 20 * ms, 74 * ms, 392 * ms, 400 * ms},
		{"deadline before the timeout", 8000 * ms, 100 * ms, 400 * ms, 20 * ms, 15 * ms, 20 * ms, 74 * ms, 392 * ms, 400 * ms},
		{"objective beyond the deadline", 1000 * ms, 500 * ms, 200 * ms, 20 * ms, 40 * ms, 20 * ms, 168 * ms, 196 * ms, 200 * ms},
		{"no objective", 1000 * ms, 0, 1000 * ms, 20 * ms, 240 * ms, 80 * ms, 920 * ms, 980 * ms, 1000 * ms},
		{"objective shorter than the way", 1000 * ms, 20 * ms, 1000 * ms, 20 * ms, 0, 8 * ms, 10 * ms, 980 * ms, 1000 * ms},
		{"no limit", 0, 0, 0, 20 * ms, 7490 * ms, 2400 * ms, 28180 * ms, 29950 * ms, 30000 * ms},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			received := time.Unix(1_000_000, 0)
			got := NewSchedule(ScheduleConfig{
				Route:    &pollencatalog.Route{Timeout: test.timeout, Objective: test.objective},
				Received: received, Patience: test.patience, CallerTrip: 20 * ms, Typical: test.typical,
			})
			qt.Assert(t, got, qt.Equals, Schedule{
				RoomLimit: received.Add(test.room), ReturnedRoomLimit: received.Add(min(test.end-test.seal, test.limit*45/100)), Hedge: received.Add(test.hedge), Seal: received.Add(test.seal),
				End: received.Add(test.end), Limit: received.Add(test.limit),
			})
		})
	}
}

func TestReturnTimes(t *testing.T) {
	c := qt.New(t)
	c.Assert(ReturnWhenBack(time.Second), qt.Equals, 300*time.Millisecond)
	c.Assert(ReturnWhenFree(time.Second, 0), qt.Equals, 150*time.Millisecond)
	c.Assert(ReturnWhenFree(time.Second, 1), qt.Equals, 300*time.Millisecond)
}
