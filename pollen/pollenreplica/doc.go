// Package pollenreplica keeps a replica of the store's keys that can be relayed to other instances.
//
// A replica has the state of one store position, which only increases: its revision goes back only when its era rises. It provides the same List and Watch methods as
// the store, so that an instance can follow either the store or the replica of another instance.
package pollenreplica
