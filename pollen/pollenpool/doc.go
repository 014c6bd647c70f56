// Package pollenpool keeps HTTP/1.1 connections to backend servers, one request at a time on each.
//
// It never sends a request twice: net/http's pooled transport repeats some requests by itself, so connections are
// handled singly.
package pollenpool
