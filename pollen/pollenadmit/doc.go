// Package pollenadmit decides in which order waiting requests start, and which ones are turned away.
//
// Load pattern: callers ask for more than the servers can answer. Requests wait for room in the instance and not in the
// servers' queues, where they would delay each other beyond their objectives; a request that finds no room in time is
// refused before any server has worked on it, so that its caller can come back.
package pollenadmit
