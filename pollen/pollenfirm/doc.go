// Package pollenfirm describes the zones, services and backend servers of two firms, for tests and benchmarks.
package pollenfirm
