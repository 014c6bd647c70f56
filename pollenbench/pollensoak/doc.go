// Package pollensoak runs entry instances as processes, injects faults from outside them, and checks promises: properties
// of the system that callers and backend servers can observe.
//
// A seed determines the faults and the requests of a run, but not how the processes are scheduled. The same seed may
// therefore pass once and fail once, and a seed that failed is recorded with its cause.
package pollensoak
