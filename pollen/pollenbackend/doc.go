// Package pollenbackend implements the client side of the backend servers' protocol, which is JSON over HTTP POST.
package pollenbackend
