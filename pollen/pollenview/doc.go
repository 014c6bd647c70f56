// Package pollenview keeps an instance's view of the platform: configuration, servers, instances and zones.
//
// The View is control state: it is changed by one actor and publishes an immutable table after each change. It never
// returns to a lower configuration version. Keys that disappear around an outage of the store are kept until their
// owners have had time to write them again.
package pollenview
