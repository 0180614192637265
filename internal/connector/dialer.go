package connector

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// userTimeout is how long sent bytes may stay unacknowledged before the connection is closed. It leaves time for two
	// retransmissions on a lossy link.
	userTimeout = 2500 * time.Millisecond
	// Keep-alive probes detect a peer that vanished while nothing is sent to it, after keepAliveIdle + 3 intervals.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
	// receiveBufferBytes is the size of a connection's receive buffer. The kernel would extend it to tens of MiB for an
	// upstream that sends fast.
	receiveBufferBytes = 128 << 10
)

// NewDialer returns a dialer whose connections fail within seconds if the peer vanishes without closing them, and have a
// receive buffer of a fixed size.
func NewDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, rawConn syscall.RawConn) error { return control(rawConn, setOptions) },
	}
}

// control calls a function with the descriptor of a connection.
func control(rawConn syscall.RawConn, call func(descriptor int) error) error {
	var callErr error
	if err := rawConn.Control(func(descriptor uintptr) { callErr = call(int(descriptor)) }); err != nil {
		return err
	}
	return callErr
}

// setUserTimeout sets TCP_USER_TIMEOUT. 0 leaves the time to the kernel.
func setUserTimeout(descriptor int, timeout time.Duration) error {
	return unix.SetsockoptInt(descriptor, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
}

func setOptions(descriptor int) error {
	if err := setUserTimeout(descriptor, userTimeout); err != nil {
		return err
	}
	return unix.SetsockoptInt(descriptor, unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes)
}
