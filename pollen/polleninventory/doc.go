// Package polleninventory is a client of the platform's list of live and leaving instances.
//
// The list may be out of date. It is only used to find an instance to replicate from while the store is down.
package polleninventory
