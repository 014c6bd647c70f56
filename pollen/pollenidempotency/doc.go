// Package pollenidempotency provides the idempotency register of one incarnation, so that no action runs twice.
//
// Memory is bounded by the expiry of each request and by a capacity beyond which new requests are refused. Entries are
// never evicted before they expire, since a duplicate could then run again.
package pollenidempotency
