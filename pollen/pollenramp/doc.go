// Package pollenramp limits the rate of requests from all instances to a cold server.
//
// Load pattern: a server restarts cold while its replicas are busy, and every instance sends it requests. A rate of a
// few requests per second cannot be divided among the instances without rounding up, so only one instance, chosen by
// rendezvous hashing, sends to a cold server.
package pollenramp
