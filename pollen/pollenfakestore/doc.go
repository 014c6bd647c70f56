// Package pollenfakestore stands in for the platform's key-value service, in tests and on one machine.
package pollenfakestore
