// Package pollenevent keeps the most recent control decisions and the traces of the most recent requests in memory.
//
// Operators read them to explain what an instance did. Traces for a replay are in package pollentrace.
package pollenevent
