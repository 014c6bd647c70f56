// Package pollenrank chooses the server that is expected to answer first.
//
// It uses the outcomes of one instance's requests. A server's expected latency is the median latency of the route times
// the server's latency ratio, plus penalties for its requests in flight, its failures and a current stall. The estimates
// for a server without requests decay to the route's typical values within seconds, so that a recovered server is tried
// again.
package pollenrank
