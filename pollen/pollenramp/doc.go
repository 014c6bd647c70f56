// Package pollenramp keeps requests to a cold server within the rate that it tolerates, over all instances.
//
// Load pattern: a server comes back cold while its replicas are busy, and every instance sends it a share. Shares of a
// few requests a second cannot be divided among instances without rounding up, so one instance alone, named by
// rendezvous hashing, sends to a cold server.
package pollenramp
