// Package pollenfront implements the entry instance that serves callers over HTTP on the users' platform.
package pollenfront
