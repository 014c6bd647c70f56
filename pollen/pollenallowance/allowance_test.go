package pollenallowance

import (
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollenline.example/pollen/pollencatalog"
)

func testTeam(perSecond, burst float64) *pollencatalog.Team {
	return &pollencatalog.Team{Name: "t", PerSecond: perSecond, Burst: burst}
}

// disturb is what happens to a fleet during a test.
type disturb func(f *fleet)

func none(*fleet) {}

func delays(least, most time.Duration, loss float64) disturb {
	return func(f *fleet) {
		f.loss, f.timeout = loss, max(f.timeout, 2*most)
		f.delay = func() time.Duration { return least + time.Duration(f.random.Int64N(int64(most-least))) }
	}
}

// lose ends an instance, which leaves the table after its lease, or starts again.
func lose(n int, at, restartAfter time.Duration) disturb {
	return func(f *fleet) {
		f.at(at, func() { f.instances[n].dead = true })
		if restartAfter > 0 {
			f.at(at+restartAfter, func() { f.startInstance(n); f.setTable() })
			return
		}
		f.at(at+3*time.Second, func() { f.instances[n].expired = true; f.setTable() })
	}
}

func freeze(n int, at, period time.Duration) disturb {
	return func(f *fleet) { f.at(at, func() { f.instances[n].frozen = f.now.Add(period) }) }
}

func cutOff(at, period time.Duration, instances ...int) disturb {
	return func(f *fleet) {
		set := func(side int) func() {
			return func() {
				for _, n := range instances[:min(len(instances), f.registered-1)] {
					f.instances[n].side = side
				}
			}
		}
		f.at(at, set(1))
		f.at(at+period, set(0))
	}
}

// Load patterns: a team within and far beyond its limit, whose callers use one, two or all instances or move between them, while
// instances are lost, start, freeze and are cut off, and reports are late and lost. Guards against more admissions over all
// instances than the limit, and against refusals within rate and burst.
func TestAdmissionsStayWithinLimit(t *testing.T) {
	one := func(*fleet) func() int { return func() int { return 0 } }
	two := func(f *fleet) func() int { return func() int { return f.random.IntN(2) } }
	spread := func(f *fleet) func() int { return f.anywhere }
	moving := func(f *fleet) func() int {
		return func() int { return int(f.now.Sub(start)/(900*time.Millisecond)) % f.registered }
	}
	demands := []struct {
		name   string
		choose func(f *fleet) func() int
	}{{"one", one}, {"two", two}, {"spread", spread}, {"moving", moving}}
	sizes := []struct{ instances, registered int }{{2, 2}, {62, 6}, {300, 20}}
	disturbances := []struct {
		name string
		disturb
		// refusals is the share of requests within rate and burst that may be refused.
		refusals float64
	}{
		{"calm", none, 0.001},
		{"delayed", delays(50*time.Millisecond, 500*time.Millisecond, 0), 0.01},
		{"lossy", delays(50*time.Millisecond, 100*time.Millisecond, 0.2), 0.01},
		{"lost", lose(1, 10*time.Second, 0), 0.01},
		{"restarted", lose(0, 10*time.Second, 1500*time.Millisecond), 0.01},
		{"frozen", freeze(0, 10*time.Second, 5*time.Second), 0.01},
		{"cut off", cutOff(10*time.Second, 8*time.Second, 0), 1},
		{"halved", cutOff(10*time.Second, 8*time.Second, 0, 1, 2), 1},
	}
	limits := []struct{ perSecond, burst float64 }{{0.5, 1}, {18, 18}, {60, 60}}
	for _, size := range sizes {
		for _, disturbance := range disturbances {
			t.Run(fmt.Sprintf("%d of %d %s", size.registered, size.instances, disturbance.name), func(t *testing.T) {
				for _, limit := range limits {
					for _, demand := range demands {
						for _, load := range []float64{0.7, 4} {
							team := testTeam(limit.perSecond, limit.burst)
							f := newFleet(size.instances, size.registered, 1, team)
							disturbance.disturb(f)
							f.send(team, load*limit.perSecond, 0, 30*time.Second, demand.choose(f))
							f.run(30 * time.Second)
							r := f.results["t"]
							most, share := r.worstWindow(0)
							what := fmt.Sprintf("rate %v, demand %s at %v of the rate: %d admitted in a window, %.2f of the limit; %d of %d refused", limit.perSecond, demand.name, load, most, share, r.refused, r.entitled)
							t.Log(what)
							qt.Check(t, share <= 1, qt.IsTrue, qt.Commentf("%s", what))
							if load < 1 {
								qt.Check(t, float64(r.refused) <= math.Ceil(disturbance.refusals*float64(r.entitled)), qt.IsTrue, qt.Commentf("%s", what))
							}
						}
					}
				}
			})
		}
	}
}
