// Command pollenbench starts a whole fleet as processes on one machine, for demonstrations and measurements.
//
// It is not part of the product: no program of the product starts a process.
package main
