// Package pollenhttp holds what an instance needs to forward HTTP/1.1 requests whatever their header fields mean: outgoing requests
// with unchanged targets, hop-by-hop fields, idle timeouts and errors of connections.
package pollenhttp
