// Package polleninventory is the adapter for the platform's list of live and leaving instances.
//
// The list lags. It is only used to find some instance to learn from while the store is down.
package polleninventory
