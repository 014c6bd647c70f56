package pollenrollout

import (
	"slices"
	"time"

	"pollenline.example/pollen/pollencatalog"
)

// knowledge is what an instance knows of the versions of a service that have its traffic apart from a rollout.
type knowledge struct {
	versions []string
	// orderRevision is the revision of the last order that the versions account for; zero if none does.
	orderRevision uint64
	// guessed is set if servers of several versions were listed when the versions were learned.
	guessed bool
	// at is when the source of the knowledge was stored; zero if the instance learned the versions from the list and has not found
	// them in the store yet. era is the store's era at that time.
	at  time.Time
	era uint64
}

// versionFacts holds what the versions in force are derived from.
type versionFacts struct {
	record *pollencatalog.VersionRecord
	// state is the newest state of a rollout that is known.
	state   *pollencatalog.RolloutState
	order   *pollencatalog.RolloutOrder
	era     uint64
	servers []*pollencatalog.Server
}

// next returns what is known of the versions in force after new facts.
//
// Load pattern: all servers of the version in force crash while servers of another version stand by, instances restart in the midst of a
// release, or the store comes back from an older copy. The list of servers does not say then which version is in force. It is used only
// while neither this instance nor the store knows a version.
func (k knowledge) next(facts versionFacts) knowledge {
	if stored := storedKnowledge(facts.record, facts.state); len(stored.versions) > 0 {
		stored.era = facts.era
		switch {
		case stored.at.Equal(k.at):
			// The source is the same one, which a copy of the store may hold too.
			stored.era = k.era
			k = stored
		case !k.at.IsZero() && facts.era > k.era && stored.at.Before(k.at):
			// The store came back from a copy that is older than what is known.
		default:
			k = stored
		}
	}
	// An order for the version that was guessed says that another one is in force.
	isWrong := k.guessed && slices.ContainsFunc(k.versions, func(version string) bool { return isBarred(version, facts.order, facts.state) })
	if len(k.versions) == 0 || isWrong {
		return learn(facts)
	}
	return k
}

// storedKnowledge returns what the store says of the versions in force, or no versions if it says nothing. A state of a rollout is newer
// than a record that no order led to; otherwise the one that was written later counts.
func storedKnowledge(record *pollencatalog.VersionRecord, state *pollencatalog.RolloutState) knowledge {
	var k knowledge
	if state != nil && len(inForce(state)) > 0 {
		k = knowledge{versions: inForce(state), orderRevision: state.OrderRevision, at: state.Entered}
	}
	if record != nil && len(record.Versions) > 0 && (len(k.versions) == 0 || record.OrderRevision > 0 && record.At.After(k.at)) {
		k = knowledge{versions: record.Versions, orderRevision: record.OrderRevision, guessed: record.Guessed, at: record.At}
	}
	return k
}

// learn takes a version from the list of servers: of those that no order or rollout names, the one whose server started first.
func learn(facts versionFacts) knowledge {
	var first *pollencatalog.Server
	guessed := false
	for _, server := range facts.servers {
		if isBarred(server.Version, facts.order, facts.state) {
			continue
		}
		guessed = guessed || first != nil && first.Version != server.Version
		if first == nil || server.StartedAt.Before(first.StartedAt) {
			first = server
		}
	}
	if first == nil {
		return knowledge{}
	}
	return knowledge{versions: []string{first.Version}, guessed: guessed, era: facts.era}
}

// isBarred reports whether a version is the target of an order that is not carried out or of a rollout that is not completed.
func isBarred(version string, order *pollencatalog.RolloutOrder, state *pollencatalog.RolloutState) bool {
	barred := state != nil && !Completed(state) && state.Target == version
	isCurrent := state != nil && order != nil && state.OrderRevision == order.Revision
	return barred || order != nil && order.Target == version && !isCurrent
}
