// Package pollenhandler implements the Connect services for callers and operators.
package pollenhandler
