// Package pollenrpc serves net/rpc to clients that may keep to no limits: it bounds the size of messages, the memory that all of them
// take, and the calls that are handled at once.
package pollenrpc
