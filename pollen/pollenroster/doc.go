// Package pollenroster decides which instances take callers and which of them follow the store for the others.
//
// Load pattern: many instances, few connections to each server and few requests for each instance. If all instances
// took callers, each would hold less than one connection to a server, would open one for most requests, and would
// learn little about the servers. So the directory names a few large instances in each availability zone; the others
// stand by, and take over when a named one has gone. In each zone one instance follows the store and relays it.
package pollenroster
