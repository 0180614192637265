package forwarder

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/semaphore"

	"coltsfootplank/internal/accountant"
	"coltsfootplank/internal/holder"
)

const (
	// freeRequestBytes is the size up to which a body is short. Short bodies have a part of the memory of their own, so that a
	// few long bodies don't keep the usual requests waiting.
	freeRequestBytes = 64 << 10
	// shortBodyParts divides the memory for long bodies: short bodies have as much as one part of it besides.
	shortBodyParts = 2
	// bodyMemoryWait is how long a request waits for the memory for its body. Callers give up on a router that hasn't read
	// their request within a second.
	bodyMemoryWait = 800 * time.Millisecond
	// bodyRetryAfter is the shortest Retry-After of a request that got no memory. Up to bodyRetrySpread more keeps the callers
	// from returning all at once.
	bodyRetryAfter  = 500 * time.Millisecond
	bodyRetrySpread = 500 * time.Millisecond
)

// bodyMemory limits the memory of the bodies of all requests together. Long bodies get it in the order of their arrival. Short
// ones get it at once, if need be from others that are still arriving: callers that hold their bodies back would otherwise keep
// all others out until their deadlines.
type bodyMemory struct {
	size    int64
	bytes   *semaphore.Weighted
	account *accountant.Accountant
	refused metrics.Counter

	mu sync.Mutex
	// short is the memory of short bodies, and arriving lists those of them that aren't whole yet, oldest first.
	short    int64
	arriving []*bodyReservation
}

// bodyReservation is the memory of one body.
type bodyReservation struct {
	memory *bodyMemory
	size   int64
	short  bool
	// interrupt ends the reading of the body.
	interrupt func()
	released  bool
	evicted   bool
}

// newBodyMemory returns a limit of size bytes for long bodies and a part of it for short ones, or nil, which is no limit, if
// size is 0.
func newBodyMemory(size int64, account *accountant.Accountant, registry metrics.Registry) *bodyMemory {
	if size <= 0 {
		return nil
	}
	return &bodyMemory{
		size: size, bytes: semaphore.NewWeighted(size), account: account,
		refused: metrics.GetOrRegisterCounter("bodies.refused_for_memory", registry),
	}
}

// acquire reserves the memory of a body. A body longer than the limit needs all of it. interrupt must end the reading of the
// body; it may be called from another goroutine until the reservation is whole or released.
func (m *bodyMemory) acquire(ctx context.Context, size int64, interrupt func()) (*bodyReservation, *holder.Refusal) {
	if m == nil {
		return nil, nil
	}
	if size <= freeRequestBytes {
		return m.acquireShort(size, interrupt)
	}
	size = min(size, m.size)
	ctx, cancel := context.WithTimeout(ctx, bodyMemoryWait)
	defer cancel()
	if err := m.bytes.Acquire(ctx, size); err != nil {
		return nil, m.refusal("the bodies of other requests take all memory: " + err.Error())
	}
	if !m.account.Reserve(accountant.Bodies, size) {
		m.bytes.Release(size)
		return nil, m.refusal("clients take all memory")
	}
	return &bodyReservation{memory: m, size: size}, nil
}

// acquireShort reserves the memory of a short body, if need be that of others which are still arriving.
func (m *bodyMemory) acquireShort(size int64, interrupt func()) (*bodyReservation, *holder.Refusal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for m.short+size > m.size/shortBodyParts || !m.account.Reserve(accountant.Bodies, size) {
		victim := evictionCandidate(m.arriving, size)
		if victim == nil {
			return nil, m.refusal("the bodies of other requests take all memory")
		}
		victim.evicted = true
		victim.interrupt()
		m.release(victim)
	}
	m.short += size
	r := &bodyReservation{memory: m, size: size, short: true, interrupt: interrupt}
	m.arriving = append(m.arriving, r)
	return r, nil
}

// evictionCandidate returns the body that is given up for a new one of the given size: the largest, and the oldest of those. It
// returns nil if the new one is larger than all others.
func evictionCandidate(arriving []*bodyReservation, size int64) *bodyReservation {
	var victim *bodyReservation
	for _, r := range arriving {
		if r.size >= size && (victim == nil || r.size > victim.size) {
			victim = r
		}
	}
	return victim
}

// release frees the memory of a short body. It must be called with the mutex.
func (m *bodyMemory) release(r *bodyReservation) {
	if r.released {
		return
	}
	r.released = true
	m.short -= r.size
	m.account.Add(accountant.Bodies, -r.size)
	m.forget(r)
}

func (m *bodyMemory) forget(r *bodyReservation) {
	if i := slices.Index(m.arriving, r); i >= 0 {
		m.arriving = slices.Delete(m.arriving, i, i+1)
	}
}

// whole is called when the body has arrived or its reading has failed. It returns false if the memory was given to another one.
func (r *bodyReservation) whole() bool {
	if r == nil || !r.short {
		return true
	}
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	r.memory.forget(r)
	return !r.evicted
}

// free ends the reservation; it may be called once.
func (r *bodyReservation) free() {
	if r == nil {
		return
	}
	if r.short {
		r.memory.mu.Lock()
		defer r.memory.mu.Unlock()
		r.memory.release(r)
		return
	}
	r.memory.bytes.Release(r.size)
	r.memory.account.Add(accountant.Bodies, -r.size)
}

// refusal returns the refusal of a request that gets no memory.
func (m *bodyMemory) refusal(message string) *holder.Refusal {
	m.refused.Inc(1)
	return &holder.Refusal{
		Outcome: holder.OutcomeNotRun, Code: holder.CodeOverloaded, Message: message,
		RetryAfter: bodyRetryAfter + rand.N(bodyRetrySpread),
	}
}
