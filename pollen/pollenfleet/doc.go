// Package pollenfleet runs a firm's entry instances, with fakes of the services around them, as processes on one machine.
//
// It is for demonstrations, benchmarks and tests; the programs in production start no processes.
package pollenfleet
