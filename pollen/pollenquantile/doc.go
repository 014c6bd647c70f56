// Package pollenquantile estimates quantiles of a stream of latencies that changes over time.
package pollenquantile
