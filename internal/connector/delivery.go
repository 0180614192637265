package connector

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// deliveryInterval is the time between checks whether the upstream has acknowledged a request.
const deliveryInterval = 250 * time.Millisecond

// delivery resets the connection of a request that the upstream doesn't acknowledge, so that the request can't arrive later.
// The kernel gives up on a connection without a reset, and what it has sent may still arrive. Until the upstream has
// acknowledged the request, the kernel's own checks are therefore off.
type delivery struct {
	connection *connection
	// pending is set while a long body is being written.
	pending *atomic.Bool

	mu      sync.Mutex
	timer   *time.Timer
	ended   bool
	failed  bool
	acked   int64
	ackedAt time.Time
}

func newDelivery(c *connection, pending *atomic.Bool) *delivery {
	d := &delivery{connection: c, pending: pending, acked: c.counter.written.Load(), ackedAt: time.Now()}
	c.setKernelChecks(false)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.timer = time.AfterFunc(deliveryInterval, d.check)
	return d
}

// check ends the watch if all bytes of the request are acknowledged, and resets the connection if none has been for userTimeout.
func (d *delivery) check() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ended {
		return
	}
	written := d.connection.counter.written.Load()
	unacked, err := d.connection.unackedBytes()
	if err != nil || unacked == 0 && !d.pending.Load() {
		// An error means that the connection has ended.
		d.end()
		return
	}
	now := time.Now()
	if acked := written - unacked; acked > d.acked {
		d.acked, d.ackedAt = acked, now
	}
	if now.Sub(d.ackedAt) >= userTimeout {
		d.ended, d.failed = true, true
		d.connection.reset()
		return
	}
	d.timer.Reset(deliveryInterval)
}

// end turns on the kernel's checks, which notice if the upstream vanishes before or within its answer.
func (d *delivery) end() {
	d.ended = true
	d.connection.setKernelChecks(true)
}

// stop ends the watch. Errors: *UnacknowledgedError if it has reset the connection.
func (d *delivery) stop() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.timer.Stop()
	if d.failed {
		return &UnacknowledgedError{Waited: userTimeout}
	}
	if !d.ended {
		d.end()
	}
	return nil
}

// setKernelChecks turns the kernel's checks whether the peer is there on or off: keep-alive probes while nothing is sent, and
// TCP_USER_TIMEOUT for bytes that aren't acknowledged. An error means that the connection has ended.
func (c *connection) setKernelChecks(on bool) {
	tcp, ok := c.conn.(*net.TCPConn)
	if !ok {
		return
	}
	timeout := time.Duration(0)
	if on {
		timeout = userTimeout
	}
	_ = tcp.SetKeepAlive(on)
	_ = c.control(func(descriptor int) error { return setUserTimeout(descriptor, timeout) })
}

// unackedBytes returns the number of bytes that were written and that the upstream hasn't acknowledged.
func (c *connection) unackedBytes() (int64, error) {
	unacked := 0
	err := c.control(func(descriptor int) (err error) {
		unacked, err = unix.IoctlGetInt(descriptor, unix.SIOCOUTQ)
		return err
	})
	return int64(unacked), err
}

// control calls a function with the descriptor of the connection, if it has one.
func (c *connection) control(call func(descriptor int) error) error {
	syscallConn, ok := c.conn.(syscall.Conn)
	if !ok {
		return nil
	}
	rawConn, err := syscallConn.SyscallConn()
	if err != nil {
		return err
	}
	return control(rawConn, call)
}
