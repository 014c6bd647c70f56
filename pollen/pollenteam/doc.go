// Package pollenteam counts the requests of teams, for operators.
//
// Load pattern: a few of many teams send most of the requests, and the names of teams change with the configuration. What is
// kept is bounded by a number of teams and by one window of time.
package pollenteam
