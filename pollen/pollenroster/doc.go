// Package pollenroster decides which instances register to serve callers, and elects the instance of each availability
// zone that watches the store for the others.
//
// Load pattern: many instances, few connections to each server and few requests per instance. If all instances served
// callers, each would hold less than one connection to a server, would open one for most requests, and would learn
// little about the servers. So only a few large instances register in each zone, and the directory names these to
// callers; the others stand by and replace a registered instance that has failed.
package pollenroster
