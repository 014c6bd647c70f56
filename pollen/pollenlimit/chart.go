package pollenlimit

import "pollenline.example/pollen/pollenchart"

// serverChart holds the states of a backend server: cold, warming, ramping, warm or suspect.
var serverChart = pollenchart.MustLoad("backendserver")

// Events of the backend server's state chart.
const (
	// eventAnswered occurs at each complete answer; it changes only the state of a cold server.
	eventAnswered pollenchart.Event = "Answered"
	// eventSteady occurs when a window of answer times allows a higher limit.
	eventSteady pollenchart.Event = "Steady"
	// eventFull occurs when the limit has reached the server's slots.
	eventFull pollenchart.Event = "Full"
	// eventBootChanged occurs when the server sends a boot ID that differs from its last one.
	eventBootChanged pollenchart.Event = "BootChanged"
	// eventConnectionLost occurs when a connection is refused or broken.
	eventConnectionLost pollenchart.Event = "ConnectionLost"
	// eventShed occurs when the server refuses a request because of overload.
	eventShed pollenchart.Event = "Shed"
	// eventSlowBurst occurs when most of the latest requests took far longer than the warm baseline.
	eventSlowBurst pollenchart.Event = "SlowBurst"
	// eventSilent occurs when a connection makes no progress within the progress timeout.
	eventSilent pollenchart.Event = "Silent"
	// eventFreshConnectionWorks occurs at an answer on a new connection after another one made no progress.
	eventFreshConnectionWorks pollenchart.Event = "FreshConnectionWorks"
)

// Traits of states in the backend server's state chart.
const (
	// traitTakesHedges marks the states in which hedges may be sent to the server.
	traitTakesHedges pollenchart.Trait = "TakesHedges"
	// traitTakesFullLimit marks the warm state, the only one in which ModeShared allows requests.
	traitTakesFullLimit pollenchart.Trait = "TakesFullLimit"
	// traitRamps marks the states in which the limit increases while answer times are steady.
	traitRamps pollenchart.Trait = "Ramps"
)
