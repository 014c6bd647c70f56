// Package pollenreach decides whether an instance reaches the backend servers, and which other instance takes its requests while
// it does not.
//
// An instance that has lost its links to the servers of all availability zones passes requests on to others, which send them. The
// package has no input or output: its users report what happened to requests, connections and probes.
package pollenreach
