// Package pollencaller is the callers' side: it asks where to connect, sends requests and verifies answers.
package pollencaller
