package admitter

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// ListenConfig returns the configuration of a listener whose connections have the buffers of the bounds. They must have them from
// the start: the window of the first packet tells a client how much it may send at once, and if that shrinks below one of its
// segments, it sends no more than a probe five times a second.
func (b Bounds) ListenConfig() net.ListenConfig {
	if b.ReceiveBuffer == 0 {
		return net.ListenConfig{}
	}
	return net.ListenConfig{Control: func(_, _ string, rawConn syscall.RawConn) error {
		return control(rawConn, func(descriptor int) error {
			if err := unix.SetsockoptInt(descriptor, unix.SOL_SOCKET, unix.SO_RCVBUF, b.ReceiveBuffer); err != nil {
				return err
			}
			return unix.SetsockoptInt(descriptor, unix.SOL_SOCKET, unix.SO_SNDBUF, b.SendBuffer)
		})
	}}
}

// setBuffer sets a buffer of a connection, and lets its window grow with it.
func setBuffer(tcp *net.TCPConn, d direction, size int) error {
	if d == sending {
		return tcp.SetWriteBuffer(size)
	}
	rawConn, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	return control(rawConn, func(descriptor int) error {
		if err := unix.SetsockoptInt(descriptor, unix.SOL_SOCKET, unix.SO_RCVBUF, size); err != nil {
			return err
		}
		return unix.SetsockoptInt(descriptor, unix.IPPROTO_TCP, unix.TCP_WINDOW_CLAMP, bufferFactor*size)
	})
}

// control calls a function with the descriptor of a socket.
func control(rawConn syscall.RawConn, call func(descriptor int) error) error {
	var callErr error
	if err := rawConn.Control(func(descriptor uintptr) { callErr = call(int(descriptor)) }); err != nil {
		return err
	}
	return callErr
}
