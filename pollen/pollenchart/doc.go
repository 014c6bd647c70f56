// Package pollenchart interprets state charts that are defined in JSON files.
//
// A chart defines states, the traits of each state and the transitions between them. Code fires events and queries
// traits; only the chart defines which state follows an event.
package pollenchart
