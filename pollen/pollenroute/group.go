package pollenroute

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// GroupsPerZone is the number of groups into which the backend servers of an availability zone are partitioned.
const GroupsPerZone = 512

// bucketsPerService is the maximum number of groups of one service in one zone; it bounds the fan-out to owners.
const bucketsPerService = 8

// Group identifies a group of backend servers that has one owner.
type Group struct {
	Zone   string
	Number int
}

// GroupOf returns the group of a backend server.
func GroupOf(zone, service, server string) Group {
	bucket := xxhash.Sum64String(server) % bucketsPerService
	number := (xxhash.Sum64String(service) + bucket) % GroupsPerZone
	return Group{Zone: zone, Number: int(number)}
}

func (g Group) String() string {
	return g.Zone + "/" + strconv.Itoa(g.Number)
}

// ParseGroup parses the result of Group.String.
func ParseGroup(text string) (Group, error) {
	separator := strings.LastIndexByte(text, '/')
	if separator < 0 {
		return Group{}, &GroupError{Text: text}
	}
	number, err := strconv.Atoi(text[separator+1:])
	if err != nil || number < 0 || number >= GroupsPerZone {
		return Group{}, &GroupError{Text: text}
	}
	return Group{Zone: text[:separator], Number: number}, nil
}

// GroupError reports text that is not a valid group.
type GroupError struct {
	Text string
}

func (e *GroupError) Error() string {
	return fmt.Sprintf("invalid group %q: want zone/number with a number below %d", e.Text, GroupsPerZone)
}

// Candidates holds the instances that may own groups, by availability zone.
type Candidates struct {
	byZone map[string][]candidate
	all    []candidate
}

// candidate is an instance with the hash of its name.
type candidate struct {
	instance Instance
	hash     uint64
}

// Candidates returns the instances that may own groups: those that claim groups, in zones that accept work.
func (t *Table) Candidates() *Candidates {
	c := &Candidates{byZone: make(map[string][]candidate)}
	for _, i := range t.Instances {
		if !i.Claims || !t.ZoneAcceptsWork(i.Zone) {
			continue
		}
		added := candidate{instance: i, hash: xxhash.Sum64String(i.Name)}
		c.byZone[i.Zone] = append(c.byZone[i.Zone], added)
		c.all = append(c.all, added)
	}
	return c
}

// Preferred returns the instance that should own a group, chosen by rendezvous hashing among the candidates in the
// group's zone, or among all candidates if the zone has none.
func (c *Candidates) Preferred(g Group) (Instance, bool) {
	candidates := c.byZone[g.Zone]
	if len(candidates) == 0 {
		candidates = c.all
	}
	hash := xxhash.Sum64String(g.String())
	var best Instance
	var bestScore uint64
	for _, i := range candidates {
		if score := mix(i.hash ^ hash); best.Name == "" || score > bestScore {
			best, bestScore = i.instance, score
		}
	}
	return best, best.Name != ""
}

// mix applies the finalizer of SplitMix64 to a hash.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
