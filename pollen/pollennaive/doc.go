// Package pollennaive implements the naive policy, a baseline for benchmarks.
//
// Every instance sends directly to a random replica and retries after any failure, without owners, limits, hedges,
// classes or deduplication of requests.
package pollennaive
