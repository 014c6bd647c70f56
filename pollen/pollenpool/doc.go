// Package pollenpool pools HTTP/1.1 connections to backend servers, each with one request at a time.
//
// It does not use net/http's own pool, which resends some requests: a request must never be sent twice.
package pollenpool
