// Command pollenstandin stands in for the platform's store and for backend servers on one machine.
package main
