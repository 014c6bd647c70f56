// Package pollenquantile estimates quantiles of recent latencies in constant memory.
package pollenquantile
