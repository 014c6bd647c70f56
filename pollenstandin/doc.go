// Command pollenstandin runs in-memory fakes of the platform's store and instance list, and of backend servers.
package main
