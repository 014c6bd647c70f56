// Package pollencrowd tests the programs of the system, as processes, against crowds of clients that keep to no limits.
package pollencrowd
