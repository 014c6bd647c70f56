// Package pollenfollow keeps an instance in touch with the store: it follows all keys and keeps its own key alive.
package pollenfollow
