// Package pollentraffic generates a firm's requests at a given rate and counts their results.
package pollentraffic
