// Package pollenversion states which build an instance runs, and which calls and stored values that build knows.
//
// docs/design/versions.md lists what one build writes and another reads, and the rules for changes.
package pollenversion
