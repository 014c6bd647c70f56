package pollenrollout

import (
	"fmt"
	"math"
	"slices"
	"time"

	"pollenline.example/pollen/pollencatalog"
	"pollenline.example/pollen/pollenchart"
)

// States of the chart "rollout".
const (
	stateCanary     = "Canary"
	stateWidening   = "Widening"
	stateCompleted  = "Completed"
	stateRolledBack = "RolledBack"
)

// Events and traits of the chart "rollout".
const (
	eventAccepted      pollenchart.Event = "Accepted"
	eventRefused       pollenchart.Event = "Refused"
	eventNothingToMove pollenchart.Event = "NothingToMove"
	eventBad           pollenchart.Event = "Bad"
	eventDue           pollenchart.Event = "Due"
	eventDrained       pollenchart.Event = "Drained"
	eventExpired       pollenchart.Event = "Expired"

	traitEnded   pollenchart.Trait = "Ended"
	traitDivides pollenchart.Trait = "Divides"
)

var chart = pollenchart.MustLoad("rollout")

// Ended reports whether a rollout needs no more decisions.
func Ended(state *pollencatalog.RolloutState) bool {
	return state != nil && chart.Has(pollenchart.StateName(state.State), traitEnded)
}

// Completed reports whether all traffic has moved to the target.
func Completed(state *pollencatalog.RolloutState) bool {
	return state != nil && state.State == stateCompleted
}

// divides reports whether the servers of the target may get requests before the rollout has ended.
func divides(state *pollencatalog.RolloutState) bool {
	return state != nil && chart.Has(pollenchart.StateName(state.State), traitDivides)
}

// Policy holds the bounds of rollouts.
type Policy struct {
	// Share and Slack bound the requests to a bad version: Share of all requests to the service, plus Slack.
	Share, Slack float64
	// RollbackDelay is the time within which a bad version must get no more requests.
	RollbackDelay time.Duration
}

const (
	// canaryBudgetShare is the part of the allowed requests that is used before the traffic is widened; the rest is for the time
	// from there until a bad version shows.
	canaryBudgetShare = 0.5
	// maxCanaryShare bounds the share while the slack is used up.
	maxCanaryShare = 0.3
	// maxShareFactor bounds the change of the share by one step, minCanaryShare is the share from which on it can grow again.
	maxShareFactor = 2
	minCanaryShare = 0.01
	// budgetHorizon is the time over which the rest of the budget is spread.
	budgetHorizon = 5 * time.Second
	// shareInterval and shareChange keep the share from being written more often than needed: each write of the store has its price.
	shareInterval = time.Second
	shareChange   = 0.2
	// orderAge is the longest time that an order is assumed to have been in the store before it was read. It is kept free before
	// the deadline, as the store does not say when an order was written.
	orderAge = time.Second
	// The traffic is widened longestWidening before the deadline, or a quarter of the duration if that is less, but at least
	// shortestWidening: a driver that dies is replaced after three seconds.
	longestWidening  = 6 * time.Second
	shortestWidening = 3 * time.Second
	wideningShare    = 0.25
	// drainTime is how long requests to the former servers may end after all instances send to the target only.
	drainTime = time.Second
	// completionLead is the time before the deadline from which on a rollout is completed. A version that turns bad until then is
	// still rolled back.
	completionLead = time.Second
	// lastLead is how long before the deadline the requests in flight to former servers are no longer waited for.
	lastLead = 200 * time.Millisecond
)

// wideningSteps lists the shares while the traffic is widened, by the part of the widening that has passed.
var wideningSteps = []struct{ after, share float64 }{{0, 0.3}, {0.2, 0.6}, {0.4, 1}}

// Facts holds what a decision is based on.
type Facts struct {
	Order *pollencatalog.RolloutOrder
	// State is the stored state; nil if there is none. It may belong to a former order.
	State *pollencatalog.RolloutState
	// OrderAge is the longest time for which an instance has known the order.
	OrderAge time.Duration
	// ServiceKnown is set if the configuration has the service.
	ServiceKnown bool
	// InForce lists the versions that have the service's traffic apart from the rollout.
	InForce []string
	// TargetServers and FormerServers count the servers that may get requests.
	TargetServers, FormerServers int
	// Exposure and Total count the requests to the target and to the service under the order.
	Exposure, Total                uint64
	TargetEvidence, FormerEvidence pollencatalog.RolloutEvidence
	// Finding says what is bad about the target; empty if nothing is.
	Finding string
	// Adopted is set if all instances that report follow the state's step.
	Adopted bool
	// FormerInFlight counts the requests in flight to former servers.
	FormerInFlight int
}

// Decide returns the state after the next step, or false if there is none to take.
func Decide(policy Policy, facts Facts, now time.Time) (pollencatalog.RolloutState, bool) {
	if facts.State == nil || facts.State.OrderRevision != facts.Order.Revision {
		return begin(facts, now), true
	}
	next := *facts.State
	next.Exposure, next.Total = max(next.Exposure, facts.Exposure), max(next.Total, facts.Total)
	next.TargetEvidence, next.FormerEvidence = facts.TargetEvidence, facts.FormerEvidence
	if Ended(facts.State) || !chart.Knows(pollenchart.StateName(next.State)) {
		return next, false
	}
	if event, cause := nextEvent(facts, next, now); event != "" {
		next.State = string(chart.Next(pollenchart.StateName(next.State), event))
		next.Share, next.Cause = shareOf(policy, next, now), cause
		return stepped(next, now), true
	}
	share := shareOf(policy, next, now)
	if !shareDiffers(next, share, now) {
		return next, false
	}
	next.Share = share
	return stepped(next, now), true
}

// begin returns the first state under an order.
func begin(facts Facts, now time.Time) pollencatalog.RolloutState {
	order := facts.Order
	start := now.Add(-facts.OrderAge)
	next := pollencatalog.RolloutState{
		Service: order.Service, OrderRevision: order.Revision, Target: order.Target,
		Start: start, Deadline: start.Add(order.Duration - min(orderAge, order.Duration/4)),
		Former: slices.DeleteFunc(slices.Clone(facts.InForce), func(version string) bool { return version == order.Target }),
	}
	if facts.State != nil {
		next.Revision = facts.State.Revision
	}
	event := eventAccepted
	switch {
	case order.Problem != "":
		event, next.Problem = eventRefused, order.Problem
	case !facts.ServiceKnown:
		event, next.Problem = eventRefused, "the configuration has no such service"
	case len(facts.InForce) > 0 && len(next.Former) == 0:
		event, next.Cause = eventNothingToMove, "the version has all traffic already"
	}
	if event == eventRefused {
		// Traffic stays where it is, also if the order names a version that is in force.
		next.Former, next.Cause = slices.Clone(facts.InForce), next.Problem
	}
	next.State = string(chart.Next(chart.Initial, event))
	if next.State == stateCompleted {
		next.Share = 1
	}
	if next.State == stateCanary {
		next.Share, next.Cause = maxCanaryShare, "ordered"
	}
	return stepped(next, now)
}

func stepped(state pollencatalog.RolloutState, now time.Time) pollencatalog.RolloutState {
	state.Step++
	state.Entered = now
	return state
}

// nextEvent returns the event that ends the state now, with its cause, or none.
func nextEvent(facts Facts, state pollencatalog.RolloutState, now time.Time) (pollenchart.Event, string) {
	late := !now.Before(state.Deadline.Add(-completionLead))
	switch {
	case slices.Contains(facts.InForce, state.Target):
		// The rollout was completed before the store came back from a copy, and the former servers may be gone.
		return eventNothingToMove, "the version has all traffic already"
	case facts.Finding != "":
		return eventBad, facts.Finding
	case now.After(state.Deadline.Add(orderAge)):
		// The instances have returned to the former servers by then.
		return eventExpired, "nothing could be decided until the deadline"
	case late && facts.TargetServers == 0:
		return eventExpired, "no server of the version at the deadline"
	case state.State == stateCanary && facts.TargetServers > 0 && !now.Before(wideningStart(state)):
		return eventDue, "nothing bad until shortly before the deadline"
	case state.State == stateWidening && state.Share >= 1 && late && drained(facts, state, now):
		return eventDrained, "nothing bad until the deadline"
	}
	return "", ""
}

// drained reports whether no request is in flight to former servers by the instances' choice.
func drained(facts Facts, state pollencatalog.RolloutState, now time.Time) bool {
	if now.Before(state.Entered.Add(drainTime)) {
		return false
	}
	return facts.Adopted && facts.FormerInFlight == 0 || !now.Before(state.Deadline.Add(-lastLead))
}

// wideningTime returns how long before the deadline the traffic is widened.
func wideningTime(state pollencatalog.RolloutState) time.Duration {
	duration := time.Duration(wideningShare * float64(state.Deadline.Sub(state.Start)))
	return max(shortestWidening, min(longestWidening, duration))
}

func wideningStart(state pollencatalog.RolloutState) time.Time {
	return state.Deadline.Add(-wideningTime(state))
}

// shareOf returns the share of first requests that go to the target.
func shareOf(policy Policy, state pollencatalog.RolloutState, now time.Time) float64 {
	switch state.State {
	case stateCompleted:
		return 1
	case stateCanary:
		return canaryShare(policy, state, now)
	case stateWidening:
		passed := float64(now.Sub(wideningStart(state))) / float64(wideningTime(state))
		share := state.Share
		for _, step := range wideningSteps {
			if passed >= step.after {
				share = max(share, step.share)
			}
		}
		return share
	}
	return 0
}

// canaryShare spreads the rest of the budget over the requests of the next budgetHorizon. It changes by a factor of two at most, also after
// a time without a driver; the instances keep to the bound by themselves.
func canaryShare(policy Policy, state pollencatalog.RolloutState, now time.Time) float64 {
	rest := canaryBudgetShare*(policy.Share*float64(state.Total)+policy.Slack) - float64(state.Exposure)
	elapsed := max(now.Sub(state.Start).Seconds(), 1)
	expected := max(float64(state.Total)/elapsed, 1) * budgetHorizon.Seconds()
	share := min(max(rest/expected, state.Share/maxShareFactor), max(state.Share, minCanaryShare)*maxShareFactor)
	return max(0, min(maxCanaryShare, share))
}

// shareDiffers reports whether a share should replace the state's. Steps of the widening are few and written at once.
func shareDiffers(state pollencatalog.RolloutState, share float64, now time.Time) bool {
	if state.State == stateWidening {
		return share > state.Share
	}
	return math.Abs(share-state.Share) > shareChange*max(share, state.Share, 0.01) && !now.Before(state.Entered.Add(shareInterval))
}

// inForce returns the versions that have the traffic after the rollout, or while it divides the traffic.
func inForce(state *pollencatalog.RolloutState) []string {
	if Completed(state) {
		return []string{state.Target}
	}
	return state.Former
}

// describe returns a text on the evidence for a log line.
func describe(e pollencatalog.RolloutEvidence) string {
	return fmt.Sprintf("%d requests, %d failed, %d slow", e.Requests, e.Failures, e.Slow)
}
