// Package pollenforward sends a caller's request to backend servers and makes one reply of their answers.
//
// A request for one service and a query over many shards take the same path: each service that is asked is a leg with
// its own choice of server, retries and hedges. A query is sealed when its latency objective nears and enough shards
// are in. Configuration is pinned when a request arrives; whether a server still takes requests is looked up at each
// send.
package pollenforward
