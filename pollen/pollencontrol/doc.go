// Package pollencontrol manages an instance's membership, lease, group ownership and configuration in force.
//
// All control state belongs to one actor. It follows the store, or another instance's replica of it, and
// publishes immutable routing tables for the data path. Calls to the store and to other instances run outside the
// actor, and their results are posted to it as messages.
package pollencontrol
