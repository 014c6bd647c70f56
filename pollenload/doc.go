// Command pollenload generates load, and records and replays traces of requests and failures.
package main
