package extrapolator

import (
	"net"
	"sync/atomic"

	"coltsfootplank/internal/messenger"
	"coltsfootplank/internal/protocol"
)

// countingListener counts the bytes that its connections read and write, without the headers of TCP and IP.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

func listen() (*countingListener, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return &countingListener{Listener: listener}, nil
}

// Accept wraps the next connection.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		// The error stays unwrapped, since net/http compares it to detect a closed listener.
		return nil, err
	}
	return &countingConn{Conn: conn, bytes: &l.bytes}, nil
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// countingSession counts the messages that holders send to the scheduler.
type countingSession struct {
	messenger.Session
	messages *atomic.Int64
}

// Receive counts a message and passes it on.
func (s *countingSession) Receive(message *protocol.HolderMessage) {
	s.messages.Add(1)
	s.Session.Receive(message)
}
