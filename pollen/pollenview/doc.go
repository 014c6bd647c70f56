// Package pollenview maintains an instance's view of the platform: configuration, servers, instances and zones.
//
// A View is changed by one actor only and publishes an immutable table after each change. The version of its
// configuration never decreases. Keys that expire during an outage of the store, or shortly after it, are retained
// until their owners have had time to write them again.
package pollenview
