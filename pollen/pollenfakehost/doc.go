// Package pollenfakehost serves fakes of the store, of the backend servers and of the instance list over HTTP.
package pollenfakehost
