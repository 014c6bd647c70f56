//go:build !linux

package pollenconn

import "syscall"

// limitBuffers leaves the buffers as the system sets them.
func limitBuffers(_, _ string, _ syscall.RawConn) error { return nil }
