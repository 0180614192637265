package connector

import (
	"errors"
	"io"
	"sync/atomic"
	"time"

	"coltsfootplank/internal/accountant"
)

const (
	// maxBufferedBytes is the memory that the buffers of all answers may take together, beyond freeBodyBytes each.
	maxBufferedBytes = 16 << 20
	// freeBodyBytes is the size up to which a body doesn't count towards maxBufferedBytes, so that a few long bodies don't
	// keep the usual ones from being read.
	freeBodyBytes = 64 << 10
	// initialBodyBytes is the size of a body's first buffer.
	initialBodyBytes = 4 << 10
	// maxDiscardedBytes is the number of bytes of a body that Discard reads to keep the connection.
	maxDiscardedBytes = 64 << 10
	// discardTimeout limits the time of Discard; the body of a refusal arrives with its head. It is longer than the pauses
	// of a process that has a fraction of a processor.
	discardTimeout = 150 * time.Millisecond
)

// bodyBudget limits the memory of the buffers of all answers that are read at the same time.
type bodyBudget struct {
	used atomic.Int64
	// account counts the buffers, too; it may be nil.
	account *accountant.Accountant
}

// reserve adds a number of bytes, or returns false if too few are left.
func (b *bodyBudget) reserve(size int64) bool {
	if b.used.Add(size) <= maxBufferedBytes {
		// An answer is delivered even if the account is full; then clients' heads and bodies are refused.
		b.account.Add(accountant.Answers, size)
		return true
	}
	b.used.Add(-size)
	return false
}

// Memory is what the buffer of one answer takes from the connector's budget. It isn't safe for concurrent use.
type Memory struct {
	budget   *bodyBudget
	reserved int64
}

// Memory returns the memory of a new buffer for the answer. It takes nothing from the budget until Grow is called.
func (a *Answer) Memory() *Memory { return &Memory{budget: &a.connector.budget} }

// Grow reserves the memory for a buffer of the given size in place of the smaller one before. Errors: *BodyBudgetError if the
// buffers of all answers would take too much.
func (m *Memory) Grow(size int64) error {
	more := max(0, size-freeBodyBytes) - m.reserved
	if !m.budget.reserve(more) {
		return &BodyBudgetError{Limit: maxBufferedBytes}
	}
	m.reserved += more
	return nil
}

// Release returns the memory to the budget.
func (m *Memory) Release() {
	m.budget.used.Add(-m.reserved)
	m.budget.account.Add(accountant.Answers, -m.reserved)
	m.reserved = 0
}

// ReadBody reads the whole body. release returns its memory to the connector's budget and must be called once the body
// isn't needed any more, also after an error. Errors: *BodyTooLargeError if the body exceeds limit,
// *BodyBudgetError if the buffers of all answers take too much memory, and those of the connection.
func (a *Answer) ReadBody(limit int64) (body []byte, release func(), err error) {
	memory := a.Memory()
	body = make([]byte, 0, initialBodyBytes)
	for {
		n, err := a.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if int64(len(body)) > limit || a.Length > limit {
			return nil, memory.Release, &BodyTooLargeError{Limit: limit}
		}
		if errors.Is(err, io.EOF) {
			return body, memory.Release, nil
		}
		if err != nil {
			return nil, memory.Release, err
		}
		if len(body) < cap(body) {
			continue
		}
		size := min(2*int64(cap(body)), limit+1)
		if err := memory.Grow(size); err != nil {
			return nil, memory.Release, err
		}
		body = append(make([]byte, 0, size), body...)
	}
}

// Discard skips the rest of the body and ends the exchange, whose request may be sent again. It resets the connection if the
// body doesn't end within maxDiscardedBytes and discardTimeout.
func (a *Answer) Discard() {
	timer := time.AfterFunc(discardTimeout, a.connection.reset)
	_, err := io.Copy(io.Discard, io.LimitReader(a, maxDiscardedBytes))
	if !timer.Stop() || err != nil {
		a.Abort()
		return
	}
	a.connection.discarded = append(a.connection.discarded, a.requestID)
	if len(a.connection.discarded) >= maxDiscarded {
		a.connection.closing = true
	}
	a.Done()
}
