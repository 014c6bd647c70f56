// Package pollenbudget limits retries and hedges, the extra requests beyond the first one to each service.
//
// Load pattern: servers slow down or fail, so that every instance retries and hedges at the same time. Without a limit
// the extra requests of all instances would overload the healthy servers.
package pollenbudget
