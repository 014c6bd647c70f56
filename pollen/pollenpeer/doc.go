// Package pollenpeer implements calls between entry instances, using net/rpc over TCP.
//
// Calls carry their timeouts in their arguments and can be cancelled. Pings detect unresponsive connections, which are
// closed; calls in flight on them end with an unknown outcome.
package pollenpeer
