// Package pollenrollout moves the traffic of a service from the servers of one version to those of another.
//
// Load pattern: the servers of a new version fail or are slow, from the start, later, under load or on one route only. They must get
// few requests until that shows, and none soon after. A version that no order has named gets none, also while all servers of the version
// in force are down or instances start.
//
// Decide is the decision for one service: from evidence and time to the next state and share. A Driver runs it on one instance and
// stores each step by a conditional write. On every instance a Router decides which servers may get a request, counts what the servers
// of both versions do, and stops sending to the new version by itself if its own evidence is bad. A Collector sums up what the
// instances report. The version in force is kept in the store: the state of a service's last rollout names it, and before the first one a
// record that a Recorder writes.
package pollenrollout
