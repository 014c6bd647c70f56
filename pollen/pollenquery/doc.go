// Package pollenquery implements the root role of a query: it pins a snapshot, sends sub-queries to the owners of the
// backend servers, merges their answers and reports the coverage of the response.
package pollenquery
