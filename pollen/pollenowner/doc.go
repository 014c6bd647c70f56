// Package pollenowner implements the owner role: it sends sub-queries to the backend servers of the groups that this
// instance owns, within the concurrency limit of each server.
package pollenowner
