// Package pollencaller is the client library of callers: it locates instances, sends requests and verifies answers.
package pollencaller
