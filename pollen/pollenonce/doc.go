// Package pollenonce remembers the requests of one incarnation, so that no action runs twice.
//
// Memory is bounded by the requests' own expiry and by a capacity beyond which new requests are refused; nothing
// is ever evicted early.
package pollenonce
