// Package pollencommand holds what the command lines of all programs share.
package pollencommand
