// Package pollenrelay relays the store's keys from one instance of an availability zone to the others.
//
// Calls to the store are limited and priced, so their number must not grow with the number of instances. A Source reads
// from the zone's watcher over net/rpc. It reads the store itself if its instance is the watcher, if there is no watcher,
// if the watcher does not answer, or if the watcher's last answer from the store is older than the time within which it
// detects an unresponsive watch.
package pollenrelay
