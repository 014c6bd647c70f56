package pollenconn

import (
	"errors"
	"syscall"

	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"
)

const (
	// receiveBufferBytes bounds what the kernel holds of a connection that is not read. The kernel doubles it for its own use, and would
	// otherwise let it grow to megabytes.
	receiveBufferBytes = 32 << 10
	// unsentBytes bounds what the kernel holds of an answer beyond what the client's window admits.
	unsentBytes = 64 << 10
)

// limitBuffers bounds the kernel's buffers of a listening socket, which those of its connections inherit.
func limitBuffers(_, _ string, conn syscall.RawConn) error {
	var err error
	controlErr := conn.Control(func(fd uintptr) {
		err = errors.Join(
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes),
			unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, unsentBytes),
		)
	})
	if err = errors.Join(controlErr, err); err != nil {
		klog.ErrorS(err, "The kernel's buffers are not bounded")
	}
	return nil
}
