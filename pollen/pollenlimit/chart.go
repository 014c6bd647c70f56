package pollenlimit

import "pollenline.example/pollen/pollenchart"

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
	traitTakesHedges    pollenchart.Trait = "TakesHedges"
	traitTakesFullLimit pollenchart.Trait = "TakesFullLimit"
	traitRamps          pollenchart.Trait = "Ramps"
)
