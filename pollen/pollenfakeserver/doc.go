// Package pollenfakeserver stands in for backend servers, in tests and on one machine.
//
// A server has slots, a cold start, sheds load and keeps a ledger of what it ran, which tests use as their judge.
package pollenfakeserver
