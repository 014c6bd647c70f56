// Package pollenconn bounds what clients that keep to no limits can hold of an instance: connections, memory of the heads of their
// requests, and time.
//
// A Registry knows the connections at one listener. It decides which one is closed for a new one, wraps each in a Conn that counts the
// head of every request while it is read, and follows the phases in which a server is with it.
package pollenconn
