package messenger

import "sync"

// OutboxLimit is the number of items (tickets, grants, releases and so on) that may wait for one stream. A
// peer that lags behind by more is treated as broken, which bounds the memory per stream.
const OutboxLimit = 1 << 16

// Outbox collects the messages for one stream and merges all that are pending into one. Put never blocks.
type Outbox[T any] struct {
	mu      sync.Mutex
	pending *T
	items   int
	err     error
	wake    chan struct{}
	merge   func(into, from *T) int
}

// NewOutbox returns an empty outbox. merge adds one message to another and returns the number of items that it
// added; it must not keep from.
func NewOutbox[T any](merge func(into, from *T) int) *Outbox[T] {
	return &Outbox[T]{merge: merge, wake: make(chan struct{}, 1)}
}

// Put adds a message. Errors: *OverflowError when too many items wait, *ClosedError after Close; both mean
// that the stream ends.
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

// Close makes the pump of this outbox return.
func (o *Outbox[T]) Close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.err == nil {
		o.err = &ClosedError{}
	}
	o.pending = nil
	o.signal()
}

// Take returns everything pending as one message, or nil. The error is the one that ended the outbox.
func (o *Outbox[T]) Take() (*T, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	message := o.pending
	o.pending, o.items = nil, 0
	return message, o.err
}

// Ready receives a value after Put or Close.
func (o *Outbox[T]) Ready() <-chan struct{} { return o.wake }

func (o *Outbox[T]) signal() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}
