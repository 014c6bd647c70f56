// Package pollenactor runs control state in an actor, one message at a time.
package pollenactor
