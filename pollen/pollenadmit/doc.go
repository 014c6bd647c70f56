// Package pollenadmit decides in which order waiting requests start, and which ones are refused.
//
// Load pattern: callers send more requests than the servers can answer. Requests wait in the instance and not in the
// servers' queues, where they would delay each other beyond their objectives. A request that gets no capacity in time
// is refused before any server has run it, so that its caller can retry.
package pollenadmit
