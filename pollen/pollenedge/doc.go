// Package pollenedge implements the Connect services for callers and operators.
package pollenedge
