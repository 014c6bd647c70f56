// Package pollenbudget limits the requests that are sent beyond the first of each caller request.
//
// Load pattern: servers turn slow or fail, so that every instance retries and hedges at once. Without a limit the
// extra requests of all instances add up to more load than the servers that are still well can take.
package pollenbudget
