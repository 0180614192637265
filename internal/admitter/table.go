package admitter

import (
	"container/list"
	"net/netip"
	"time"

	"coltsfootplank/internal/accountant"
)

// Cause is why a connection or a head was refused.
type Cause string

// Causes of refusals. They are the names of metrics.
const (
	CauseConnections Cause = "connections"
	CauseAddress     Cause = "address"
	CauseHeadMemory  Cause = "head_memory"
	CauseHeadBytes   Cause = "head_bytes"
	CauseLineBytes   Cause = "line_bytes"
	CauseFields      Cause = "fields"
	CauseHeadTimeout Cause = "head_timeout"
	// CauseServer stands for what net/http itself refuses, such as a failed handshake.
	CauseServer Cause = "server"
)

// phase is what a connection is doing.
type phase int

const (
	// unfinished connections haven't sent a whole head yet.
	unfinished phase = iota
	// active connections carry a request, or a protocol that has bounds of its own.
	active
	// idle connections wait for their next request.
	idle
)

// entry is a connection in a table.
type entry struct {
	address netip.Addr
	phase   phase
	// since is when the phase began.
	since time.Time
	// charge is the memory of the head that the connection has sent, until its request has ended.
	charge int64
	// buffers is the memory of the connection's buffers beyond the usual ones.
	buffers [directions]int64
	// owner is the connection itself.
	owner   *conn
	element *list.Element
	// removed is set when the connection doesn't count any more. It may still be open for a moment, until it is gone.
	removed, gone bool
}

// table decides which connections of a listener are admitted and which are closed for others. It does no I/O, reads no clock
// and isn't safe for concurrent use.
//
// Many clients that send no whole head would otherwise use up the descriptors and the memory. When a bound is reached, an
// unfinished head is closed first, since it has cost its client nothing yet: the oldest, or, for memory, the largest. An idle
// connection comes next, at any rate if its caller won't reuse it any more. Connections with requests are never closed for others.
//
// Callers that keep their connections, and send a request just often enough, would otherwise keep all others out for good. So an
// idle connection that may still be reused yields too, the longest idle one, but only a few of them per second: new connections
// that come in a flood don't cost the callers theirs. A caller whose connection was closed before its request was read may send
// it again.
type table struct {
	bounds     Bounds
	account    *accountant.Accountant
	unfinished list.List
	idle       list.List
	active     int
	// yieldedAt is when an idle connection that might have been reused was last closed for a new one.
	yieldedAt time.Time
	// closing is the number of connections that were removed and aren't gone yet.
	closing   int
	addresses map[netip.Addr]int
	// headMemory is the sum of all charges, bodyBuffers the memory of enlarged buffers.
	headMemory, bodyBuffers int64
}

const (
	// leastIdle is how long a connection must be idle before it yields to a new one though it may be reused.
	leastIdle = time.Second
	// yieldInterval is the time between two such closings.
	yieldInterval = 100 * time.Millisecond
)

// closingParts bounds the connections that are being closed, whose descriptors aren't free yet: one part of the connections.
const closingParts = 4

func newTable(bounds Bounds, account *accountant.Accountant) *table {
	return &table{bounds: bounds, account: account, addresses: make(map[netip.Addr]int)}
}

// open returns the number of connections.
func (t *table) open() int { return t.unfinished.Len() + t.idle.Len() + t.active }

// admit adds a connection. If there is no room, it removes another one, which must be closed, or returns ok == false.
// Connections that have been idle for less than keepIdle may still be reused.
func (t *table) admit(e *entry, now time.Time, keepIdle time.Duration) (closed *entry, cause Cause, ok bool) {
	switch {
	case t.open()+t.closing >= t.bounds.Connections+t.bounds.Connections/closingParts+1:
		return nil, CauseConnections, false
	case t.addresses[e.address] >= t.bounds.PerAddress:
		closed, cause = t.oldestOf(e.address), CauseAddress
	case t.open() >= t.bounds.Connections:
		cause = CauseConnections
		closed = t.oldestFor(now, keepIdle)
		if closed == nil {
			return nil, cause, false
		}
	}
	if closed != nil {
		t.remove(closed)
	}
	e.phase, e.since = unfinished, now
	t.account.Add(accountant.Connections, connectionBytes)
	t.insert(e)
	return closed, cause, true
}

// oldestOf returns the oldest unfinished connection of an address.
func (t *table) oldestOf(address netip.Addr) *entry {
	for element := t.unfinished.Front(); element != nil; element = element.Next() {
		if e := element.Value.(*entry); e.address == address {
			return e
		}
	}
	return nil
}

// oldestFor returns the connection that is closed for a new one, or nil.
func (t *table) oldestFor(now time.Time, keepIdle time.Duration) *entry {
	if front := t.unfinished.Front(); front != nil {
		return front.Value.(*entry)
	}
	front := t.idle.Front()
	if front == nil {
		return nil
	}
	e := front.Value.(*entry)
	switch spent := now.Sub(e.since); {
	case spent >= keepIdle:
		return e
	case spent >= leastIdle && now.Sub(t.yieldedAt) >= yieldInterval:
		t.yieldedAt = now
		return e
	default:
		return nil
	}
}

// grow sets the memory of a connection's unfinished head. If all heads take too much, or the account is full, it removes the
// largest unfinished one, which may be e itself and must be closed.
func (t *table) grow(e *entry, charge int64) (closed *entry) {
	if e.removed {
		return nil
	}
	t.charge(e, charge)
	if (t.bounds.HeadMemory <= 0 || t.headMemory <= t.bounds.HeadMemory) && !t.account.Full() {
		return nil
	}
	for element := t.unfinished.Front(); element != nil; element = element.Next() {
		if other := element.Value.(*entry); closed == nil || other.charge > closed.charge {
			closed = other
		}
	}
	if closed != nil {
		t.remove(closed)
	}
	return closed
}

// charge sets the memory of a connection's head.
func (t *table) charge(e *entry, bytes int64) {
	t.headMemory += bytes - e.charge
	t.account.Add(accountant.Heads, bytes-e.charge)
	e.charge = bytes
}

// begin moves a connection to another phase. An idle one keeps no memory of a head.
func (t *table) begin(e *entry, p phase, now time.Time) {
	if e.removed || e.phase == p {
		return
	}
	t.take(e)
	e.phase, e.since = p, now
	if p == idle {
		t.charge(e, 0)
	}
	t.insert(e)
}

// remove forgets a connection. It has no effect on one that is removed already.
func (t *table) remove(e *entry) {
	if e.removed {
		return
	}
	t.take(e)
	e.removed = true
	t.closing++
	t.charge(e, 0)
}

// readmit counts a removed connection again whose head was finished before it could be closed.
func (t *table) readmit(e *entry, p phase, now time.Time) {
	if !e.removed || e.gone {
		return
	}
	e.removed, e.phase, e.since = false, p, now
	t.closing--
	t.insert(e)
}

// end removes a connection that has been closed.
func (t *table) end(e *entry) {
	if e.gone {
		return
	}
	t.remove(e)
	e.gone = true
	t.closing--
	t.shrink(e)
	t.account.Add(accountant.Connections, -connectionBytes)
}

// insert counts a connection by its phase.
func (t *table) insert(e *entry) {
	switch e.phase {
	case unfinished:
		e.element = t.unfinished.PushBack(e)
		t.addresses[e.address]++
	case idle:
		e.element = t.idle.PushBack(e)
	case active:
		t.active++
	}
}

// take undoes insert.
func (t *table) take(e *entry) {
	switch e.phase {
	case unfinished:
		t.unfinished.Remove(e.element)
		if t.addresses[e.address]--; t.addresses[e.address] == 0 {
			delete(t.addresses, e.address)
		}
	case idle:
		t.idle.Remove(e.element)
	case active:
		t.active--
	}
	e.element = nil
}
