package pollenroster

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollenline.example/pollen/pollencatalog"
)

// fleet returns instances with 0.8 (large) and 0.192 (small) of a processor core; large and small count per zone.
func fleet(zones, large, small int) []pollencatalog.Instance {
	var instances []pollencatalog.Instance
	for z := range zones {
		for n := range large + small {
			processor := 0.8
			if n >= large {
				processor = 0.192
			}
			instances = append(instances, pollencatalog.Instance{
				Name: fmt.Sprintf("entry-%d-%d", z, n), Zone: fmt.Sprintf("zone-%d", z), Processor: processor,
			})
		}
	}
	return instances
}

// registerUntilStable lets instances register and withdraw one after the other until nothing changes, and returns the
// registered ones.
func registerUntilStable(all []pollencatalog.Instance, connections int, alive func(pollencatalog.Instance) bool) []pollencatalog.Instance {
	configuration := &pollencatalog.Configuration{Services: map[string]pollencatalog.Service{"s": {Connections: connections}}}
	registered := make(map[string]bool)
	for changed := true; changed; {
		changed = false
		for _, i := range all {
			var instances []pollencatalog.Instance
			for _, other := range all {
				if registered[other.Name] {
					instances = append(instances, other)
				}
			}
			table := pollencatalog.NewTable(pollencatalog.TableConfig{Configuration: configuration, Instances: instances})
			if shouldRegister := alive(i) && ShouldRegister(i, table); shouldRegister != registered[i.Name] {
				registered[i.Name] = shouldRegister
				changed = true
			}
		}
	}
	var result []pollencatalog.Instance
	for _, i := range all {
		if registered[i.Name] {
			result = append(result, i)
		}
	}
	return result
}

// Load pattern: 90 instances, 6 of them large, share 67 connections to each server. Guards against too many registered
// instances for the connections, and against small ones that register beside enough large ones.
func TestShouldRegister(t *testing.T) {
	allAlive := func(pollencatalog.Instance) bool { return true }
	tests := []struct {
		name        string
		fleet       []pollencatalog.Instance
		connections int
		alive       func(pollencatalog.Instance) bool
		want        int
		small       int
	}{
		{"few instances, all alike", fleet(3, 0, 3), 26, allAlive, 6, 6},
		{"many connections", fleet(3, 0, 3), 600, allAlive, 9, 9},
		{"few connections, many instances", fleet(3, 2, 28), 20, allAlive, 6, 0},
		{"large ones only", fleet(3, 2, 28), 67, allAlive, 6, 0},
		{"several large ones", fleet(3, 10, 28), 67, allAlive, 15, 0},
		{"a large one is gone", fleet(3, 2, 28), 20, func(i pollencatalog.Instance) bool { return i.Name != "entry-1-0" }, 6, 1},
		{"a zone is gone", fleet(3, 2, 28), 20, func(i pollencatalog.Instance) bool { return i.Zone != "zone-1" }, 4, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			registered := registerUntilStable(test.fleet, test.connections, test.alive)
			small := 0
			for _, i := range registered {
				if i.Processor < 0.5 {
					small++
				}
			}
			c.Assert(len(registered), qt.Equals, test.want)
			c.Assert(small, qt.Equals, test.small)
		})
	}
}

// Guards against a small instance that watches the store while a large one is registered in its zone.
func TestZoneWatcherIsLargestInstance(t *testing.T) {
	c := qt.New(t)
	all := fleet(2, 1, 3)
	_, ok := ZoneWatcher(all, "elsewhere")
	c.Assert(ok, qt.IsFalse)
	watcher, ok := ZoneWatcher(all, "zone-1")
	c.Assert(ok, qt.IsTrue)
	c.Assert(watcher.Name, qt.Equals, "entry-1-0")
	watcher, _ = ZoneWatcher(all[:4], "zone-0")
	c.Assert(watcher.Name, qt.Equals, "entry-0-0")
}

// Guards against small instances that register before large ones and then have to withdraw.
func TestLargeInstancesRegisterFirst(t *testing.T) {
	large, small, unspecified := pollencatalog.Instance{Processor: 0.8}, pollencatalog.Instance{Processor: 0.2}, pollencatalog.Instance{}
	qt.Assert(t, RegistrationDelay(large, 0) < RegistrationDelay(small, 0), qt.IsTrue)
	qt.Assert(t, RegistrationDelay(large, 1) > RegistrationDelay(small, 0), qt.IsTrue)
	qt.Assert(t, RegistrationDelay(small, 0) < RegistrationDelay(unspecified, 0), qt.IsTrue)
}

// Guards against small instances that read the store before large ones have registered, and against fleets of small ones
// in which none begins.
func TestSmallInstancesWaitAtStartup(t *testing.T) {
	large, small, unspecified := pollencatalog.Instance{Processor: 0.8}, pollencatalog.Instance{Processor: 0.2}, pollencatalog.Instance{}
	qt.Assert(t, StartupDelay(large, 1), qt.Equals, time.Duration(0))
	qt.Assert(t, StartupDelay(small, 0), qt.Equals, time.Duration(0))
	qt.Assert(t, StartupDelay(small, 1) > RegistrationDelay(large, 0), qt.IsTrue)
	qt.Assert(t, StartupDelay(unspecified, 1), qt.Equals, time.Duration(0))
}

// Load pattern: most registered instances of a zone reach no servers. Others must register in their place, and withdraw once they do
// again.
func TestCutOffInstancesAreReplaced(t *testing.T) {
	c := qt.New(t)
	all := fleet(3, 2, 4)
	register := func(cutOff bool) []bool {
		instances := slices.Clone(all)
		for i := range instances {
			instances[i].CutOff = cutOff && instances[i].Zone == "zone-1" && instances[i].Processor >= 0.5
		}
		table := pollencatalog.NewTable(pollencatalog.TableConfig{Instances: instances})
		var registered []bool
		for _, i := range all {
			if i.Zone == "zone-1" && i.Processor < 0.5 {
				registered = append(registered, ShouldRegister(i, table))
			}
		}
		return registered
	}
	c.Assert(slices.Contains(register(false), true), qt.IsFalse)
	c.Assert(slices.Contains(register(true), true), qt.IsTrue)
}
