package main

import (
	"io"
	"net"
	"sync"
)

// proxy forwards connections to a target. While it is cut, it resets all connections, or keeps them without passing a byte.
type proxy struct {
	address string
	target  string

	mu     sync.Mutex
	mode   mode
	resume chan struct{}
	conns  map[net.Conn]bool
}

type mode int

const (
	passing mode = iota
	resetting
	silent
)

func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{address: listener.Addr().String(), target: target, conns: make(map[net.Conn]bool)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	return p, nil
}

// set changes the mode. Connections that were silent are reset, since their bytes are lost.
func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.mode
	p.mode = m
	if m == resetting || before == silent {
		for conn := range p.conns {
			reset(conn)
		}
	}
}

func (p *proxy) current() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *proxy) add(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[conn] = true
}

func (p *proxy) drop(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, conn)
	_ = conn.Close()
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (p *proxy) serve(conn net.Conn) {
	if p.current() == resetting {
		reset(conn)
		return
	}
	p.add(conn)
	defer p.drop(conn)
	upstream, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(conn)
		return
	}
	p.add(upstream)
	defer p.drop(upstream)
	done := make(chan struct{}, 2)
	go func() { p.pipe(upstream, conn); done <- struct{}{} }()
	go func() { p.pipe(conn, upstream); done <- struct{}{} }()
	<-done
}

func (p *proxy) pipe(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if p.current() == silent {
			// The bytes are lost; the connection stays until the cut ends.
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				reset(to)
			}
			return
		}
	}
}

func (m mode) String() string { return [...]string{"passing", "resetting", "silent"}[m] }
