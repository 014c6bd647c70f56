// Package pollenquota divides the request rates that overloaded backend servers state among the instances, and limits this
// instance's requests to its share.
//
// Load pattern: a server takes a few requests per second from all instances together, and callers send many more. Each
// instance sends at even intervals, because a rate of less than one request per second and instance cannot be rounded up.
// If the rate is very low, only some instances, chosen by rendezvous hashing, send to the server.
package pollenquota
