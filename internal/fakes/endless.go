package fakes

import (
	"io"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// MaxEndlessBytes is the number of bytes after which an EndlessUpstream stops writing, so that a test of a reader
	// without a limit doesn't use up the memory.
	MaxEndlessBytes = 64 << 20
	// MaxBufferedBytes is more than the number of bytes that the socket buffers of a connection hold while its reader
	// reads nothing.
	MaxBufferedBytes = 8 << 20
	// sendBufferBytes is the size of the send buffer of a connection.
	sendBufferBytes = 64 << 10
	// endlessWriteBytes is the size of one write without a pause.
	endlessWriteBytes = 32 << 10
)

// EndlessUpstream is an upstream whose answers don't end: on each connection it writes a prefix once a request arrives,
// and then repeats a unit until the peer closes the connection.
type EndlessUpstream struct {
	Address string
	prefix  string
	unit    string
	pause   time.Duration
	written atomic.Int64
	open    atomic.Int64
}

// NewEndlessUpstream returns an upstream that pauses after each unit, or writes as fast as it can if pause is 0, and its
// clean-up function.
func NewEndlessUpstream(prefix, unit string, pause time.Duration) (*EndlessUpstream, func(), error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	if pause == 0 {
		unit = strings.Repeat(unit, max(1, endlessWriteBytes/len(unit)))
	}
	u := &EndlessUpstream{Address: listener.Addr().String(), prefix: prefix, unit: unit, pause: pause}
	var group errgroup.Group
	group.Go(func() error {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return nil //nolint:nilerr // the listener was closed by the clean-up function
			}
			u.open.Add(1)
			group.Go(func() error { return u.serve(conn) })
		}
	})
	return u, func() { _ = listener.Close() }, nil
}

// Written returns the number of bytes written to all connections.
func (u *EndlessUpstream) Written() int64 { return u.written.Load() }

// Open returns the number of connections that the peer hasn't closed.
func (u *EndlessUpstream) Open() int64 { return u.open.Load() }

// serve answers one connection. It never fails: the peer's close ends it.
func (u *EndlessUpstream) serve(conn net.Conn) error {
	defer func() {
		_ = conn.Close()
		u.open.Add(-1)
	}()
	if tcp, ok := conn.(*net.TCPConn); ok {
		// Otherwise the buffer grows to several MiB. An error only makes the count of bytes less exact.
		_ = tcp.SetWriteBuffer(sendBufferBytes)
	}
	if _, err := conn.Read(make([]byte, endlessWriteBytes)); err != nil {
		return nil //nolint:nilerr // the peer closed the connection
	}
	text := u.prefix
	for u.written.Load() < MaxEndlessBytes {
		n, err := io.WriteString(conn, text)
		u.written.Add(int64(n))
		if err != nil {
			return nil //nolint:nilerr // the peer closed the connection
		}
		text = u.unit
		time.Sleep(u.pause)
	}
	_, _ = io.Copy(io.Discard, conn)
	return nil
}
