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

	traitListed       pollenchart.Trait = "Listed"
	traitTakesCallers pollenchart.Trait = "TakesCallers"
	traitClaims       pollenchart.Trait = "Claims"
)

// Events and traits of the lease's state chart.
const (
	eventGranted     pollenchart.Event = "Granted"
	eventRenewed     pollenchart.Event = "Renewed"
	eventLapsed      pollenchart.Event = "Lapsed"
	eventStoreFailed pollenchart.Event = "StoreFailed"
	eventGone        pollenchart.Event = "Gone"

	traitGrants    pollenchart.Trait = "Grants"
	traitExclusive pollenchart.Trait = "Exclusive"
	traitShared    pollenchart.Trait = "Shared"
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

	traitSends    pollenchart.Trait = "Sends"
	traitWaits    pollenchart.Trait = "Waits"
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

	traitReadsBack pollenchart.Trait = "ReadsBack"
)
