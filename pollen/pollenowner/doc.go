// Package pollenowner sends sub-queries to the backend servers of the groups that this instance owns.
package pollenowner
