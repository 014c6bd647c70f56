// Package pollenstore is the adapter for the platform's key-value service.
//
// The service offers compare-and-swap on single keys, leases that keys can be attached to, and watches.
package pollenstore
