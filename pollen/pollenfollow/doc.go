// Package pollenfollow connects an instance to the store: a Follower reads all keys and their changes, and a Registrar
// keeps the instance's own key under a lease.
package pollenfollow
