package pollencontrol

import "pollenline.example/pollen/pollenchart"

var (
	instanceChart = pollenchart.MustLoad("instance")
	leaseChart    = pollenchart.MustLoad("lease")
	groupChart    = pollenchart.MustLoad("group")
	changeChart   = pollenchart.MustLoad("change")
)

// Events, states and traits of the instance's state chart.
const (
	eventRegistered   pollenchart.Event = "Registered"
	eventIsolated     pollenchart.Event = "Isolated"
	eventReconnected  pollenchart.Event = "Reconnected"
	eventStopAsked    pollenchart.Event = "StopAsked"
	eventUnreferenced pollenchart.Event = "Unreferenced"
	eventDrained      pollenchart.Event = "Drained"

	stateJoining pollenchart.StateName = "Joining"
	stateDrained pollenchart.StateName = "Drained"

	// traitListed is the trait of states in which callers may be directed to the instance.
	traitListed pollenchart.Trait = "Listed"
	// traitTakesCallers is the trait of states in which the instance accepts callers' requests.
	traitTakesCallers pollenchart.Trait = "TakesCallers"
	// traitClaims is the trait of states in which the instance may own groups.
	traitClaims pollenchart.Trait = "Claims"
)

// Events and traits of the lease's state chart.
const (
	eventGranted     pollenchart.Event = "Granted"
	eventRenewed     pollenchart.Event = "Renewed"
	eventLapsed      pollenchart.Event = "Lapsed"
	eventStoreFailed pollenchart.Event = "StoreFailed"
	eventGone        pollenchart.Event = "Gone"

	// traitGrants is the trait of states without a lease, in which a new one is granted; in others it is renewed.
	traitGrants pollenchart.Trait = "Grants"
	// traitExclusive is the trait of states in which the lease is held until its deadline.
	traitExclusive pollenchart.Trait = "Exclusive"
	// traitShared is the trait of states in which the store is down, so that work may be sent without a lease.
	traitShared pollenchart.Trait = "Shared"
)

// Events, states and traits of the state chart of a group's ownership.
const (
	eventClaim       pollenchart.Event = "Claim"
	eventClaimed     pollenchart.Event = "Claimed"
	eventClaimLost   pollenchart.Event = "ClaimLost"
	eventClaimFailed pollenchart.Event = "ClaimFailed"
	eventLeaseGone   pollenchart.Event = "LeaseGone"
	eventRelease     pollenchart.Event = "Release"
	eventReleased    pollenchart.Event = "Released"

	stateOther      pollenchart.StateName = "Other"
	stateClaiming   pollenchart.StateName = "Claiming"
	stateOwned      pollenchart.StateName = "Owned"
	stateReclaiming pollenchart.StateName = "Reclaiming"
	stateReleasing  pollenchart.StateName = "Releasing"

	// traitSends is the trait of states in which sub-queries are sent while the lease permits them.
	traitSends pollenchart.Trait = "Sends"
	// traitWaits is the trait of states in which sub-queries stay queued until the ownership is decided.
	traitWaits pollenchart.Trait = "Waits"
	// traitReclaims is the trait of states in which a group whose key was deleted with the lease is claimed again.
	traitReclaims pollenchart.Trait = "Reclaims"
)

// Events, states and traits of the state chart of a configuration change.
const (
	eventStored          pollenchart.Event = "Stored"
	eventConflict        pollenchart.Event = "Conflict"
	eventAnswerLost      pollenchart.Event = "AnswerLost"
	eventNotFound        pollenchart.Event = "NotFound"
	eventAllAcknowledged pollenchart.Event = "AllAcknowledged"

	stateStored   pollenchart.StateName = "Stored"
	stateAccepted pollenchart.StateName = "Accepted"
	stateRefused  pollenchart.StateName = "Refused"

	// traitReadsBack is the trait of states in which the next attempt reads the head to find out whether a swap without
	// an answer took effect.
	traitReadsBack pollenchart.Trait = "ReadsBack"
)
