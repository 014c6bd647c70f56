// Package polleninstance puts one entry instance together from its parts and runs it.
package polleninstance
