// Package pollenfront assembles an entry instance that serves callers on the users' platform.
package pollenfront
