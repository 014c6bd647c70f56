// Package pollenforward sends a caller's request to backend servers and builds one reply from their answers.
//
// A request for one service and a query over many shards take the same path: each service gets a subrequest with its
// own choice of server, retries and hedges. A query that has reached its minimum coverage is answered shortly before
// its latency objective, without the missing shards. The route is fixed when a request arrives; whether a server still
// accepts requests is looked up before each send.
package pollenforward
