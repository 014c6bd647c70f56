// Package pollenpeer carries calls between entry instances by net/rpc over TCP.
//
// Calls carry their deadlines in their arguments and can be cancelled. A connection without progress is found by
// pings and retired; the calls on it end as unknown.
package pollenpeer
