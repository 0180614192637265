package messenger

import "sync"

// OutboxLimit is the maximum number of items (tickets, grants, releases and so on) that may wait for one stream. A
// stream whose peer lags behind by more is treated as broken, which bounds the memory per stream.
const OutboxLimit = 1 << 16

// Outbox collects the messages for one stream and merges all pending ones into a single message. Put never blocks.
type Outbox[T any] struct {
	mu      sync.Mutex
	pending *T
	items   int
	err     error
	ready   chan struct{}
	merge   func(into, from *T) int
}

// NewOutbox returns an empty outbox. merge adds the content of from to into and returns the number of added items. It
// must not retain from.
func NewOutbox[T any](merge func(into, from *T) int) *Outbox[T] {
	return &Outbox[T]{merge: merge, ready: make(chan struct{}, 1)}
}

// Put adds a message. Errors: *OverflowError when too many items wait, *ClosedError after Close. Either one ends the
// stream.
func (o *Outbox[T]) Put(message *T) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.err != nil {
		return o.err
	}
	if o.pending == nil {
		o.pending = new(T)
	}
	o.items += o.merge(o.pending, message)
	if o.items > OutboxLimit {
		o.err = &OverflowError{Items: o.items}
		o.pending = nil
	}
	o.signal()
	return o.err
}

// Close drops the pending message and ends the stream of this outbox.
func (o *Outbox[T]) Close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.err == nil {
		o.err = &ClosedError{}
	}
	o.pending = nil
	o.signal()
}

// Take returns all pending content as one message, or nil if there is none. The error is the one that ended the outbox,
// if any.
func (o *Outbox[T]) Take() (*T, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	message := o.pending
	o.pending, o.items = nil, 0
	return message, o.err
}

// Ready returns a channel that receives a value after Put or Close.
func (o *Outbox[T]) Ready() <-chan struct{} { return o.ready }

func (o *Outbox[T]) signal() {
	select {
	case o.ready <- struct{}{}:
	default:
	}
}
