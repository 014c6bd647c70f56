package pollenroster

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"pollenline.example/pollen/pollencatalog"
)

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

// settle lets instances register and withdraw, one after the other, until nothing changes.
func settle(all []pollencatalog.Instance, connections int, alive func(pollencatalog.Instance) bool) []pollencatalog.Instance {
	configuration := &pollencatalog.Configuration{Services: map[string]pollencatalog.Service{"s": {Connections: connections}}}
	named := make(map[string]bool)
	for changed := true; changed; {
		changed = false
		for _, i := range all {
			var instances []pollencatalog.Instance
			for _, other := range all {
				if named[other.Name] {
					instances = append(instances, other)
				}
			}
			table := pollencatalog.NewTable(pollencatalog.TableConfig{Configuration: configuration, Instances: instances})
			if serves := alive(i) && Serves(i, table); serves != named[i.Name] {
				named[i.Name] = serves
				changed = true
			}
		}
	}
	var result []pollencatalog.Instance
	for _, i := range all {
		if named[i.Name] {
			result = append(result, i)
		}
	}
	return result
}

// Load pattern: 90 instances, 6 of them large, share 67 connections to each server.
func TestServes(t *testing.T) {
	everyone := func(pollencatalog.Instance) bool { return true }
	tests := []struct {
		name        string
		fleet       []pollencatalog.Instance
		connections int
		alive       func(pollencatalog.Instance) bool
		want        int
		small       int
	}{
		{"few instances, all alike", fleet(3, 0, 3), 26, everyone, 6, 6},
		{"many connections", fleet(3, 0, 3), 600, everyone, 9, 9},
		{"few connections, many instances", fleet(3, 2, 28), 20, everyone, 6, 0},
		{"large ones only", fleet(3, 2, 28), 67, everyone, 6, 0},
		{"several large ones", fleet(3, 10, 28), 67, everyone, 15, 0},
		{"a large one is gone", fleet(3, 2, 28), 20, func(i pollencatalog.Instance) bool { return i.Name != "entry-1-0" }, 6, 1},
		{"a zone is gone", fleet(3, 2, 28), 20, func(i pollencatalog.Instance) bool { return i.Zone != "zone-1" }, 4, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			named := settle(test.fleet, test.connections, test.alive)
			small := 0
			for _, i := range named {
				if i.Processor < 0.5 {
					small++
				}
			}
			c.Assert(len(named), qt.Equals, test.want)
			c.Assert(small, qt.Equals, test.small)
		})
	}
}

func TestWatcher(t *testing.T) {
	c := qt.New(t)
	all := fleet(2, 1, 3)
	_, ok := Watcher(all, "elsewhere")
	c.Assert(ok, qt.IsFalse)
	first, ok := Watcher(all, "zone-1")
	c.Assert(ok, qt.IsTrue)
	c.Assert(first.Name, qt.Equals, "entry-1-0")
	second, _ := Watcher(all[:4], "zone-0")
	c.Assert(second.Name, qt.Equals, "entry-0-0")
}

func TestLargeInstancesRegisterFirst(t *testing.T) {
	large, small, silent := pollencatalog.Instance{Processor: 0.8}, pollencatalog.Instance{Processor: 0.2}, pollencatalog.Instance{}
	qt.Assert(t, Delay(large, 0) < Delay(small, 0), qt.IsTrue)
	qt.Assert(t, Delay(large, 1) > Delay(small, 0), qt.IsTrue)
	qt.Assert(t, Delay(small, 0) < Delay(silent, 0), qt.IsTrue)
}
