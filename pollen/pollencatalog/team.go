package pollencatalog

import (
	"crypto/sha256"
	"fmt"
	"math"
	"strings"
)

// Team is a group of callers with common keys.
type Team struct {
	Name string
	// Priority orders teams by urgency; 0 is the most urgent. It goes before the priority of the route.
	Priority int
	// RoutePriority is set if the team has no priority of its own, so that the route's counts.
	RoutePriority bool
	// PerSecond and Burst are the rate and the capacity of the token bucket that limits the team's requests to all instances
	// together; the team has no limit if PerSecond is zero.
	PerSecond float64
	Burst     float64
}

// KeyDigest is the SHA-256 of a team's key. The keys themselves are not kept, so that no log line or answer can show them.
type KeyDigest [sha256.Size]byte

// maxKeyBytes is the length of the longest key that is looked up.
const maxKeyBytes = 512

// UsableKey reports whether a text can be a key: it is not empty, of at most 512 bytes, and all of them are printable and not a
// space.
func UsableKey(key string) bool {
	return key != "" && len(key) <= maxKeyBytes && strings.IndexFunc(key, func(r rune) bool { return r <= ' ' || r > '~' }) < 0
}

// StatedTeam is a team with its keys as operators state it.
type StatedTeam struct {
	Team Team
	Keys []string
}

// TeamError reports a statement of a configuration about a team that is not followed. It holds no key.
type TeamError struct {
	Team   string
	Reason string
}

func (e *TeamError) Error() string { return fmt.Sprintf("team %q: %s", e.Team, e.Reason) }

// TeamByKey returns the team that holds a key.
func (c *Configuration) TeamByKey(key string) (*Team, bool) {
	team, ok := c.TeamsByKey[sha256.Sum256([]byte(key))]
	return team, ok
}

// SetTeams sets the teams of a configuration that is not in use yet, and appends to its Problems what is not followed: a key
// stays with the first team that states it, teams of one name are one team, and a limit that is negative or not finite is none.
func (c *Configuration) SetTeams(stated []StatedTeam) {
	if len(stated) == 0 {
		return
	}
	c.TeamsByKey = make(map[KeyDigest]*Team)
	byName := make(map[string]*Team)
	report := func(team, format string, arguments ...any) {
		c.Problems = append(c.Problems, &TeamError{Team: team, Reason: fmt.Sprintf(format, arguments...)})
	}
	for _, s := range stated {
		if !usableTeamName(s.Team.Name) {
			report(s.Team.Name, "left out, as no header field can hold the name")
			continue
		}
		team, ok := byName[s.Team.Name]
		if ok {
			report(team.Name, "stated twice, the first statement counts with the keys of both")
		} else {
			team = &s.Team
			byName[team.Name] = team
			c.Teams = append(c.Teams, team)
			if !validLimit(team.PerSecond) || !validLimit(team.Burst) {
				report(team.Name, "rate %v with burst %v counts as no limit", team.PerSecond, team.Burst)
				team.PerSecond, team.Burst = 0, 0
			}
		}
		for n, key := range s.Keys {
			digest := sha256.Sum256([]byte(key))
			holder, held := c.TeamsByKey[digest]
			switch {
			case !UsableKey(key):
				report(team.Name, "key %d is empty, too long or not printable, and is never accepted", n+1)
			case !held:
				c.TeamsByKey[digest] = team
			case holder != team:
				report(team.Name, "key %d belongs to team %q, which is stated before", n+1, holder.Name)
			}
		}
	}
}

func validLimit(n float64) bool { return n >= 0 && !math.IsInf(n, 0) }

// usableTeamName reports whether a header field can hold a name unchanged.
func usableTeamName(name string) bool {
	return name != "" && strings.TrimSpace(name) == name && strings.IndexFunc(name, func(r rune) bool { return r < ' ' || r == 0x7f }) < 0
}
