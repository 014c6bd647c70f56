// Package pollenactor runs an instance's control state in an actor, which handles one message at a time.
package pollenactor
