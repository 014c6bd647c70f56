// Package pollenfirm describes the zones, services and backend servers of the firms vunivalu and dunhlyja, for tests
// and benchmarks.
package pollenfirm
