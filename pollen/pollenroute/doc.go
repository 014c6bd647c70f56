// Package pollenroute builds the immutable routing tables that requests are served from.
//
// A table combines the configuration in force with the live instances and the owners of the backend server groups.
package pollenroute
