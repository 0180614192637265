package fakes

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"coltsfootplank/internal/kernel"
)

// InjectedError is the cause of the errors that the fake log returns because of an injected fault.
type InjectedError struct {
	Fault string
}

func (e *InjectedError) Error() string { return fmt.Sprintf("fake log: injected fault: %s", e.Fault) }

// AppendOutcome is what happens to an append.
type AppendOutcome int

// Outcomes of an append.
const (
	// AppendAcked stores the record and returns its offset.
	AppendAcked AppendOutcome = iota
	// AppendStoredUnacked stores the record and loses the acknowledgement.
	AppendStoredUnacked
	// AppendDroppedUnacked drops the record and loses the acknowledgement.
	AppendDroppedUnacked
	// AppendDelayedUnacked loses the acknowledgement; the record is stored by the next call of StoreDelayed.
	AppendDelayedUnacked
	// AppendRateLimited rejects the append with *kernel.RateLimitedError.
	AppendRateLimited
)

type delayedRecord struct {
	stream string
	data   []byte
}

// Log is an in-memory kernel.LogProtocol. Offsets start at 0. Its methods may be called concurrently.
type Log struct {
	mu      sync.Mutex
	streams map[string][]kernel.LogRecord
	first   map[string]int64
	next    map[string]int64
	changed chan struct{}

	appendDown bool
	readDown   bool
	delay      time.Duration
	outcome    func(stream string, data []byte) AppendOutcome
	delayed    []delayedRecord
	appends    int
}

// NewLog returns an empty log without faults.
func NewLog() *Log {
	return &Log{
		streams: make(map[string][]kernel.LogRecord),
		first:   make(map[string]int64),
		next:    make(map[string]int64),
		changed: make(chan struct{}),
	}
}

// SetOutage makes all appends and reads fail without effect; if down is false, it ends that fault.
func (l *Log) SetOutage(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appendDown, l.readDown = down, down
	l.notify()
}

// SetReadOutage makes only reads fail; if down is false, it ends that fault.
func (l *Log) SetReadOutage(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.readDown = down
	l.notify()
}

// SetDelay delays every call.
func (l *Log) SetDelay(delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = delay
}

// SetAppendOutcome sets the function that decides the outcome of each append; nil acknowledges all appends.
func (l *Log) SetAppendOutcome(outcome func(stream string, data []byte) AppendOutcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcome = outcome
}

// SetNextAppendOutcome sets the outcome of the next append. Later appends are acknowledged.
func (l *Log) SetNextAppendOutcome(outcome AppendOutcome) {
	used := false
	l.SetAppendOutcome(func(string, []byte) AppendOutcome {
		if used {
			return AppendAcked
		}
		used = true
		return outcome
	})
}

// StoreDelayed stores the records whose outcome was AppendDelayedUnacked and returns their number.
func (l *Log) StoreDelayed() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	delayed := l.delayed
	l.delayed = nil
	for _, record := range delayed {
		l.store(record.stream, record.data)
	}
	return len(delayed)
}

// Trim drops the records of a stream before offset first.
func (l *Log) Trim(stream string, first int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.first[stream] = max(l.first[stream], min(first, l.next[stream]))
	l.streams[stream] = slices.DeleteFunc(l.streams[stream], func(record kernel.LogRecord) bool {
		return record.Offset < l.first[stream]
	})
}

// Records returns the records of a stream that haven't been trimmed.
func (l *Log) Records(stream string) []kernel.LogRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.streams[stream])
}

// Appends returns the number of appends that reached the log.
func (l *Log) Appends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// Append implements kernel.LogProtocol.
func (l *Log) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	if err := l.waitDelay(ctx); err != nil {
		return 0, &kernel.AppendOutcomeUnknownError{Stream: stream, Cause: err}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.appendDown {
		return 0, &kernel.LogUnavailableError{Operation: "append", Cause: &InjectedError{Fault: "outage"}}
	}
	l.appends++
	outcome := AppendAcked
	if l.outcome != nil {
		outcome = l.outcome(stream, data)
	}
	unacked := &kernel.AppendOutcomeUnknownError{Stream: stream, Cause: &InjectedError{Fault: "lost acknowledgement"}}
	switch outcome {
	case AppendStoredUnacked:
		l.store(stream, data)
		return 0, unacked
	case AppendDroppedUnacked:
		return 0, unacked
	case AppendDelayedUnacked:
		l.delayed = append(l.delayed, delayedRecord{stream: stream, data: slices.Clone(data)})
		return 0, unacked
	case AppendRateLimited:
		return 0, &kernel.RateLimitedError{Operation: "append"}
	}
	return l.store(stream, data), nil
}

// Read implements kernel.LogProtocol.
func (l *Log) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (kernel.LogPage, error) {
	if err := l.waitDelay(ctx); err != nil {
		return kernel.LogPage{}, &kernel.LogUnavailableError{Operation: "read", Cause: err}
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		page, changed, err := l.page(stream, from, limit)
		if err != nil || len(page.Records) > 0 || wait <= 0 {
			return page, err
		}
		select {
		case <-changed:
		case <-timer.C:
			wait = 0
		case <-ctx.Done():
			return kernel.LogPage{}, &kernel.LogUnavailableError{Operation: "read", Cause: ctx.Err()}
		}
	}
}

func (l *Log) page(stream string, from int64, limit int) (kernel.LogPage, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.readDown {
		return kernel.LogPage{}, nil, &kernel.LogUnavailableError{Operation: "read", Cause: &InjectedError{Fault: "outage"}}
	}
	first := l.first[stream]
	if from < first {
		return kernel.LogPage{}, nil, &kernel.TrimmedError{Stream: stream, First: first}
	}
	page := kernel.LogPage{First: first, Next: from}
	for _, record := range l.streams[stream] {
		if record.Offset < from {
			continue
		}
		if len(page.Records) == limit {
			break
		}
		page.Records = append(page.Records, record)
		page.Next = record.Offset + 1
	}
	return page, l.changed, nil
}

func (l *Log) store(stream string, data []byte) int64 {
	offset := l.next[stream]
	l.next[stream]++
	l.streams[stream] = append(l.streams[stream], kernel.LogRecord{Offset: offset, Data: slices.Clone(data)})
	l.notify()
	return offset
}

func (l *Log) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *Log) waitDelay(ctx context.Context) error {
	l.mu.Lock()
	delay := l.delay
	l.mu.Unlock()
	if delay <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
