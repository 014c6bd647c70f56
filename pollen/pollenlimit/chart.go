package pollenlimit

import "pollenline.example/pollen/pollenchart"

// serverChart holds the states of a backend server: cold, warming, ramping, warm or suspect.
var serverChart = pollenchart.MustLoad("backendserver")

// Events of the backend server's state chart.
const (
	eventAnswered             pollenchart.Event = "Answered"
	eventSteady               pollenchart.Event = "Steady"
	eventFull                 pollenchart.Event = "Full"
	eventBootChanged          pollenchart.Event = "BootChanged"
	eventConnectionLost       pollenchart.Event = "ConnectionLost"
	eventShed                 pollenchart.Event = "Shed"
	eventSlowBurst            pollenchart.Event = "SlowBurst"
	eventSilent               pollenchart.Event = "Silent"
	eventFreshConnectionWorks pollenchart.Event = "FreshConnectionWorks"
)

// Traits of states in the backend server's state chart.
const (
	// traitTakesHedges marks the states in which hedges may be sent to the server.
	traitTakesHedges pollenchart.Trait = "TakesHedges"
	// traitTakesFullLimit marks the state in which the server is warm.
	traitTakesFullLimit pollenchart.Trait = "TakesFullLimit"
	// traitRamps marks the states in which the limit increases while answer times are steady.
	traitRamps pollenchart.Trait = "Ramps"
)
