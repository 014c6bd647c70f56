// Package pollenfakeserver implements an in-memory backend server for tests and for local fleets.
//
// A server has a number of slots, is slow and of small capacity after a start, sheds load, and keeps a ledger of the
// actions that it ran, against which tests check the answers of instances.
package pollenfakeserver
