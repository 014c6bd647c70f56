// Package pollentrace reads and writes traces for a replay: requests and failures over time, with the expected outcome.
//
// A trace file holds one JSON-encoded Line per line; the first one holds the outcome.
package pollentrace
