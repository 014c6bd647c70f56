package pollenroster

import (
	"cmp"
	"time"

	"github.com/cespare/xxhash/v2"

	"pollenline.example/pollen/pollencatalog"
)

const (
	// leastPerZone is the number of instances that are named in each zone at least, so that one may be lost.
	leastPerZone = 2
	// wantedConnections is the number of connections to a server that a named instance should have: two for its
	// slots, and as many while those are replaced.
	wantedConnections = 4
	// largeShare is the share of the largest processor below which an instance is only named to reach leastPerZone: a
	// query over many shards takes longer there than its objective.
	largeShare = 0.5
	// registrationDelay is the time that an instance of one whole core waits for better ones to register; smaller
	// ones wait longer in proportion.
	registrationDelay = 150 * time.Millisecond
)

// Serves reports whether an instance should be named to callers, given the instances that are named now.
func Serves(self pollencatalog.Instance, table *pollencatalog.Table) bool {
	better, largest := 0, self.Processor
	zones := map[string]bool{self.Zone: true}
	for _, i := range table.Instances() {
		zones[i.Zone] = true
		largest = max(largest, i.Processor)
		if i.Zone == self.Zone && i.Name != self.Name && Compare(i, self) < 0 {
			better++
		}
	}
	if self.Processor < largeShare*largest {
		return better < leastPerZone
	}
	return better < perZone(table.Configuration(), len(zones))
}

// Delay returns how long an instance that should be named waits before it registers.
//
// Load pattern: a named instance is lost where 30 others stand by. Each has a rank among them, and leaves those before
// it the time to register and to be seen. At the start nobody has a rank, and larger instances come first.
func Delay(self pollencatalog.Instance, rank int) time.Duration {
	return time.Duration(float64(registrationDelay)/max(self.Processor, smallestProcessor)) + time.Duration(rank)*rankDelay
}

// rankDelay is the time in which a registration is written and seen by all: a call, a pause and a relayed watch.
const rankDelay = 700 * time.Millisecond

// smallestProcessor bounds the delay of instances that state no share of a processor.
const smallestProcessor = 0.1

// Watcher returns the instance that follows the store for a zone; the second result is false if none is named there.
func Watcher(instances []pollencatalog.Instance, zone string) (pollencatalog.Instance, bool) {
	var best pollencatalog.Instance
	found := false
	for _, i := range instances {
		if i.Zone == zone && (!found || Compare(i, best) < 0) {
			best, found = i, true
		}
	}
	return best, found
}

// perZone returns the number of instances to name in each zone.
func perZone(configuration *pollencatalog.Configuration, zones int) int {
	if configuration == nil {
		return leastPerZone
	}
	fewest := 0
	for _, service := range configuration.Services {
		if fewest == 0 || service.Connections < fewest {
			fewest = service.Connections
		}
	}
	return max(leastPerZone, fewest/wantedConnections/zones)
}

// Compare orders instances by processor share, largest first, and then in an order that differs between fleets.
func Compare(a, b pollencatalog.Instance) int {
	return cmp.Or(
		cmp.Compare(b.Processor, a.Processor),
		cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)),
		cmp.Compare(a.Name, b.Name),
	)
}
