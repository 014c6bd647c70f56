// Package pollengate decides whether a backend server may be sent a request now, and names the reason if not.
//
// Load pattern: a server announces in its responses that it leaves, or refuses requests for a stated time, while the store lists
// it as ready or can't be reached. Each instance keeps what it was told in memory and stops sending at once.
package pollengate
