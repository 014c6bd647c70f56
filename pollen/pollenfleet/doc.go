// Package pollenfleet starts a firm's fleet of instances and stand-ins as processes on one machine, and controls it.
//
// It serves demonstrations, measurements and process tests; no program of the product starts a process.
package pollenfleet
