// Package pollennaive is the baseline that measurements compare with.
//
// Every instance sends directly to a random replica, without owners, limits, hedges, classes or memory of earlier
// requests, and tries again after any failure.
package pollennaive
