// Package pollenfront implements the entry instance that serves callers over HTTP on the users' platform,
// whose protocols package pollenplatform implements.
package pollenfront
