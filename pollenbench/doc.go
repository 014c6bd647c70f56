// Command pollenbench starts fleets of real processes on one machine, for demonstrations, measurements and fault tests.
//
// It is not deployed: no deployed program starts other processes.
package main
