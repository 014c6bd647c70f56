// Package pollenquota tracks the request rates that backend servers state as their limits, and this instance's requests to
// such servers.
package pollenquota
