// Package pollentrace reads and writes traces: requests and failures over time with the outcome they must have.
//
// A trace is a file of JSON lines; each line is a Line, the first of them with the outcome.
package pollentrace
