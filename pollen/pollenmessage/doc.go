// Package pollenmessage defines the messages about queries that entry instances exchange.
package pollenmessage
