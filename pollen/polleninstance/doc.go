// Package polleninstance builds an entry instance from its components and runs it.
package polleninstance
