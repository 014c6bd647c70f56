package pollenroute

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// GroupsPerZone is the number of groups that the backend servers of an availability zone are spread over.
const GroupsPerZone = 512

// bucketsPerService bounds the groups that one service's servers in one zone fall into, and so the fan-out.
const bucketsPerService = 8

// Group names a group of backend servers with one owner.
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

// ParseGroup reads a group as String writes it.
func ParseGroup(text string) (Group, error) {
	cut := strings.LastIndexByte(text, '/')
	if cut < 0 {
		return Group{}, &GroupError{Text: text}
	}
	number, err := strconv.Atoi(text[cut+1:])
	if err != nil || number < 0 || number >= GroupsPerZone {
		return Group{}, &GroupError{Text: text}
	}
	return Group{Zone: text[:cut], Number: number}, nil
}

// GroupError reports a text that names no group.
type GroupError struct {
	Text string
}

func (e *GroupError) Error() string {
	return fmt.Sprintf("%q names no group: want zone/number", e.Text)
}

// Candidates are the instances that may own groups, by availability zone.
type Candidates struct {
	byZone map[string][]candidate
	all    []candidate
}

// candidate is an instance with the hash of its name.
type candidate struct {
	instance Instance
	hash     uint64
}

// Candidates returns the instances that may own groups now: those that claim, in zones that take work.
func (t *Table) Candidates() *Candidates {
	c := &Candidates{byZone: make(map[string][]candidate)}
	for _, i := range t.Instances {
		if !i.Claims || !t.ZoneTakesWork(i.Zone) {
			continue
		}
		one := candidate{instance: i, hash: xxhash.Sum64String(i.Name)}
		c.byZone[i.Zone] = append(c.byZone[i.Zone], one)
		c.all = append(c.all, one)
	}
	return c
}

// Preferred returns the instance that should own a group: by rendezvous hashing, in the group's zone if it can.
func (c *Candidates) Preferred(g Group) (Instance, bool) {
	candidates := c.byZone[g.Zone]
	if len(candidates) == 0 {
		candidates = c.all
	}
	hash := xxhash.Sum64String(g.String())
	var best Instance
	var bestScore uint64
	for _, one := range candidates {
		if score := mix(one.hash ^ hash); best.Name == "" || score > bestScore {
			best, bestScore = one.instance, score
		}
	}
	return best, best.Name != ""
}

// mix spreads the bits of a hash, as the finaliser of SplitMix64 does.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
