package forwarder

import (
	"context"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/semaphore"

	"coltsfootplank/internal/holder"
)

const (
	// freeRequestBytes is the size up to which the body of a request may always be read, so that a few long bodies don't keep
	// the usual requests waiting.
	freeRequestBytes = 64 << 10
	// bodyMemoryWait is how long a request waits for the memory for its body. Callers give up on a router that hasn't read
	// their request within a second.
	bodyMemoryWait = 800 * time.Millisecond
	// bodyRetryAfter is the shortest Retry-After of a request that got no memory. Up to bodyRetrySpread more keeps the callers
	// from returning all at once.
	bodyRetryAfter  = 500 * time.Millisecond
	bodyRetrySpread = 500 * time.Millisecond
)

// bodyMemory limits the memory of the bodies of all requests together. Requests get it in the order of their arrival.
type bodyMemory struct {
	size  int64
	bytes *semaphore.Weighted
}

// newBodyMemory returns a limit of size bytes, or nil, which is no limit, if size is 0.
func newBodyMemory(size int64) *bodyMemory {
	if size <= 0 {
		return nil
	}
	return &bodyMemory{size: size, bytes: semaphore.NewWeighted(size)}
}

// acquire reserves the memory of a body and returns a function that frees it. A body longer than the limit needs all of it.
func (m *bodyMemory) acquire(ctx context.Context, size int64) (release func(), refusal *holder.Refusal) {
	if m == nil || size <= freeRequestBytes {
		return func() {}, nil
	}
	size = min(size, m.size)
	ctx, cancel := context.WithTimeout(ctx, bodyMemoryWait)
	defer cancel()
	if err := m.bytes.Acquire(ctx, size); err != nil {
		return func() {}, &holder.Refusal{
			Outcome: holder.OutcomeNotRun, Code: holder.CodeOverloaded, Message: "the bodies of other requests take all memory: " + err.Error(),
			RetryAfter: bodyRetryAfter + rand.N(bodyRetrySpread),
		}
	}
	return func() { m.bytes.Release(size) }, nil
}
