// Package pollenrank chooses the server that is expected to answer first.
//
// It learns from the answers that one instance sees. A server's expected latency is the typical latency of the route,
// times how much slower the server has been than others, plus what its open requests, its failures and a present
// stall add. The estimates of a server that gets no requests return to the typical ones within seconds, so that a
// server that has recovered is tried again.
package pollenrank
