// Package pollenfakestore implements the platform's key-value service in memory, for tests and for local fleets.
package pollenfakestore
