// Package pollenbackend is the adapter for the backend servers' protocol: JSON by POST over net/http.
package pollenbackend
