// Package pollenchart interprets state charts that are kept as JSON files.
//
// A chart names its states, the traits of each state and the transitions between them. Code asks for traits
// and fires events; which state an event leads to is decided by the file alone.
package pollenchart
