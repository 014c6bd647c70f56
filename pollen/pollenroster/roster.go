package pollenroster

import (
	"cmp"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"pollenline.example/pollen/pollencatalog"
)

const (
	// minInstancesPerZone is the smallest number of registered instances in each zone, so that one may fail.
	minInstancesPerZone = 2
	// connectionsPerInstance is the number of connections to a server that a registered instance should have: two for
	// the server's slots, and two more while those are replaced.
	connectionsPerInstance = 4
	// largeProcessorRatio is the ratio to the largest processor share below which an instance registers only to reach
	// minInstancesPerZone: a query over many shards takes longer there than its objective.
	largeProcessorRatio = 0.5
	// wholeCoreDelay is how long an instance with one whole core waits for instances that come before it to register;
	// smaller instances wait longer in proportion.
	wholeCoreDelay = 150 * time.Millisecond
)

// ShouldRegister reports whether an instance should be registered; the table holds the instances that are registered now. Those that
// reach no servers are replaced, and stay registered themselves.
func ShouldRegister(self pollencatalog.Instance, table *pollencatalog.Table) bool {
	preceding, largest := 0, self.Processor
	zones := map[string]bool{self.Zone: true}
	for _, i := range table.Instances() {
		zones[i.Zone] = true
		largest = max(largest, i.Processor)
		if i.Zone == self.Zone && i.Name != self.Name && !i.CutOff && Compare(i, self) < 0 {
			preceding++
		}
	}
	if self.Processor < largeProcessorRatio*largest {
		return preceding < minInstancesPerZone
	}
	return preceding < instancesPerZone(table.Configuration(), len(zones))
}

// RegistrationDelay returns how long an instance that should register waits before it does; rank is the number of standby
// instances of its zone that come before it by Compare.
//
// Load pattern: a registered instance fails where 30 others stand by. Each waits in proportion to its rank, so that the
// instances before it have time to register and to be seen. At startup all ranks are 0, and larger instances register
// first.
func RegistrationDelay(self pollencatalog.Instance, rank int) time.Duration {
	return time.Duration(float64(wholeCoreDelay)/max(self.Processor, minProcessor)) + time.Duration(rank)*delayPerRank
}

// StartupDelay returns how long an instance of a fleet that starts for the first time lets others read the store first;
// random is between 0 and 1.
//
// Load pattern: hundreds of instances start at once, and only a few large ones will register and follow the store. The
// small ones can follow those, but must not wait in vain where there are none: random delays let a few of them begin.
func StartupDelay(self pollencatalog.Instance, random float64) time.Duration {
	if self.Processor <= 0 || self.Processor >= standbyProcessor {
		return 0
	}
	return time.Duration(startupDelays * math.Sqrt(random) * float64(RegistrationDelay(self, 0)))
}

// standbyProcessor is the share of a processor core below which an instance serves callers only beside no larger ones.
const standbyProcessor = 0.3

// startupDelays is the longest startup delay in registration delays: large instances of a new fleet have read the store and
// registered by then. The square root of a random number makes short delays rare.
const startupDelays = 4

// delayPerRank is the time within which a registration is written and seen by all: a store call, the watcher's batch
// delay and a relayed watch.
const delayPerRank = 700 * time.Millisecond

// minProcessor bounds the delay of instances that state no processor share.
const minProcessor = 0.1

// ZoneWatcher returns the instance that watches the store for a zone; the second result is false if no instance is
// registered there.
func ZoneWatcher(instances []pollencatalog.Instance, zone string) (pollencatalog.Instance, bool) {
	var watcher pollencatalog.Instance
	found := false
	for _, i := range instances {
		if i.Zone == zone && (!found || Compare(i, watcher) < 0) {
			watcher, found = i, true
		}
	}
	return watcher, found
}

// instancesPerZone returns how many instances should be registered in each zone, so that each of them can have
// connectionsPerInstance connections to a server of any service.
func instancesPerZone(configuration *pollencatalog.Configuration, zoneCount int) int {
	if configuration == nil {
		return minInstancesPerZone
	}
	minConnections := 0
	for _, service := range configuration.Services {
		if minConnections == 0 || service.Connections < minConnections {
			minConnections = service.Connections
		}
	}
	return max(minInstancesPerZone, minConnections/connectionsPerInstance/zoneCount)
}

// Compare orders instances by processor share, largest first, and then by a hash of their names, so that the order
// differs between fleets.
func Compare(a, b pollencatalog.Instance) int {
	return cmp.Or(
		cmp.Compare(b.Processor, a.Processor),
		cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)),
		cmp.Compare(a.Name, b.Name),
	)
}
