// Package pollenroute builds the immutable tables that traffic reads.
//
// A table joins the configuration in force with the live instances and the owners of groups of backend servers.
package pollenroute
