// Package pollensoak runs entry instances as processes, injects faults from outside them, and checks the promises that
// callers and backend servers can see.
//
// A seed fixes the plan of faults and the requests. What happens between processes is not fixed by it, so a seed that
// failed is kept with its plan and its cause.
package pollensoak
