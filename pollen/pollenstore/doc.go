// Package pollenstore is a client of the platform's key-value store.
//
// The store offers compare-and-swap on single keys, leases that keys can be attached to, and watches. Client calls
// it over the HTTP paths in this package. Package pollenplatform has a client of another protocol with the same types.
package pollenstore
