// Package pollenreplica keeps a copy of the store's keys that can be relayed to other instances.
//
// A replica is at one store revision and only moves forward. It serves the same List and Watch calls as the
// store, so that an instance can follow the store or another instance's replica alike.
package pollenreplica
