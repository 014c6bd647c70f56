// Package pollenevent keeps the most recent control decisions and request traces in ring buffers.
package pollenevent
