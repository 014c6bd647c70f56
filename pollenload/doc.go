// Command pollenload sends load, records traces and replays them.
package main
