// Package pollenrelay lets one instance of an availability zone follow the store for the others.
//
// The store's calls are few and priced, and their number must not grow with the instances. A Source reads from the
// zone's watcher by net/rpc, and from the store itself if it is the watcher, if there is none, or if the watcher is
// silent or has not heard the store for longer than a deaf watch takes to be found.
package pollenrelay
