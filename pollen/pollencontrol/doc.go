// Package pollencontrol decides membership, leases, ownership of groups and the configuration in force.
//
// All control state belongs to one actor. It follows the store, or another instance's replica of it, and
// publishes immutable tables that traffic reads. Calls to the store and to other instances run beside the actor
// and come back as messages.
package pollencontrol
