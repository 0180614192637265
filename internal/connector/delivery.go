package connector

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// deliveryInterval is the time between checks whether the upstream has acknowledged a request.
	deliveryInterval = 250 * time.Millisecond
	// stallTimeout is how long no byte of a request may be acknowledged before the idle connections to the upstream are
	// taken for dead too. A lost segment is sent again sooner.
	stallTimeout = time.Second
)

// delivery resets the connection of a request that the upstream doesn't acknowledge, so that the request can't arrive later.
// The kernel gives up on a connection without a reset, and what it has sent may still arrive. The kernel's own checks are
// therefore off from the end of one answer until the upstream has acknowledged the next request: a check that began on the
// idle connection would end it in the middle of the request.
type delivery struct {
	connection *connection
	// onStall is called once if no byte is acknowledged for stallTimeout.
	onStall func()
	// pending is set while a long body is being written.
	pending *atomic.Bool

	mu      sync.Mutex
	timer   *time.Timer
	ended   bool
	failed  bool
	stalled bool
	acked   int64
	ackedAt time.Time
}

func newDelivery(c *connection, pending *atomic.Bool, onStall func()) *delivery {
	d := &delivery{connection: c, pending: pending, onStall: onStall, acked: c.counter.written.Load(), ackedAt: time.Now()}
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
	if !d.stalled && now.Sub(d.ackedAt) >= stallTimeout {
		d.stalled = true
		d.onStall()
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
	if !ok || on == c.kernelChecks {
		return
	}
	c.kernelChecks = on
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
