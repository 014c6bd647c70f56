// Package pollenfakehost serves the stand-ins for the store and the backend servers over HTTP.
package pollenfakehost
