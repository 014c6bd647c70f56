// Package pollentraffic sends a firm's requests and tallies what comes back.
package pollentraffic
