// Command pollenctl sends requests of callers and operators to an instance and prints the responses.
package main
