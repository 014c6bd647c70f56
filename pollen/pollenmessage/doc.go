// Package pollenmessage defines the messages that entry instances exchange about queries.
package pollenmessage
