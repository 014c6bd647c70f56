// Package pollenteam decides whether a request may run for the team whose key it carries, and counts the requests of teams.
//
// Load pattern: callers send requests without a key, with an unknown one or beyond their team's quota. Each is refused before its
// body is read and before it waits for anything. A few of many teams send most of the requests, and the names of teams change with
// the configuration: what is counted is bounded by a number of teams and by one window of time.
package pollenteam
