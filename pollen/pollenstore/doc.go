// Package pollenstore is a client of the platform's key-value store.
//
// The store offers compare-and-swap on single keys, leases that keys can be attached to, and watches.
package pollenstore
