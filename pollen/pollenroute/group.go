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

// Preferred returns the instance that should own a group: by rendezvous hashing, in the group's zone if it can.
//
// Instances in an availability zone that is out, and those that do not claim, are passed over.
func (t *Table) Preferred(g Group) (Instance, bool) {
	var best Instance
	var bestScore uint64
	found := false
	for _, i := range t.Instances {
		if !i.Claims || !t.ZoneTakesWork(i.Zone) {
			continue
		}
		score := xxhash.Sum64String(i.Name+"|"+g.String())>>1 | 1
		if i.Zone == g.Zone {
			score |= 1 << 63
		}
		if !found || score > bestScore {
			best, bestScore, found = i, score, true
		}
	}
	return best, found
}
