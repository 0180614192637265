// Package faulter keeps the faults that are switched on for each part of the platform.
package faulter

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"
)

// Table holds the active faults of one target. It is safe for concurrent use.
type Table struct {
	target  string
	known   map[string]string
	mu      sync.Mutex
	active  map[string]activation
	changed chan struct{}
	hooks   map[string]func(Value, time.Duration)
}

// activation is one fault that is on. A zero end means until cleared.
type activation struct {
	value Value
	end   time.Time
}

// Active is one row of the list of active faults. LeftMS is 0 for a fault without an end.
type Active struct {
	Target string `json:"target"`
	Fault  string `json:"fault"`
	Value  Value  `json:"value"`
	LeftMS int64  `json:"left_ms"`
}

// NewTable returns a table without active faults; known maps each fault to its description.
func NewTable(target string, known map[string]string) *Table {
	return &Table{
		target: target, known: known,
		active: make(map[string]activation), changed: make(chan struct{}),
		hooks: make(map[string]func(Value, time.Duration)),
	}
}

// Hook registers a function that runs when fault is switched on. Call it before the table is shared.
func (t *Table) Hook(fault string, run func(value Value, length time.Duration)) {
	t.hooks[fault] = run
}

// Known returns the names of the target's faults in alphabetical order.
func (t *Table) Known() []string {
	return slices.Sorted(maps.Keys(t.known))
}

// Set switches a fault on for a length of time, 0 for until cleared. It returns an *UnknownFaultError.
func (t *Table) Set(fault string, value Value, length time.Duration) error {
	if _, ok := t.known[fault]; !ok {
		return &UnknownFaultError{Target: t.target, Fault: fault, Known: t.Known()}
	}
	entry := activation{value: value}
	if length > 0 {
		entry.end = time.Now().Add(length)
	}
	t.mu.Lock()
	t.active[fault] = entry
	t.notify()
	t.mu.Unlock()
	if hook := t.hooks[fault]; hook != nil {
		hook(value, length)
	}
	return nil
}

// Clear switches a fault off.
func (t *Table) Clear(fault string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.active, fault)
	t.notify()
}

// Get returns the value of a fault and whether it is on.
func (t *Table) Get(fault string) (Value, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry, ok := t.current(fault)
	return entry.value, ok
}

// Hits returns true if a fault is on and its probability strikes.
func (t *Table) Hits(fault string) bool {
	value, ok := t.Get(fault)
	return ok && value.Roll()
}

// Take returns the value of a fault that is on and switches it off, so that it strikes once.
func (t *Table) Take(fault string) (Value, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry, ok := t.current(fault)
	delete(t.active, fault)
	return entry.value, ok
}

// Wait blocks while a fault is on, and returns early with the context's error.
func (t *Table) Wait(ctx context.Context, fault string) error {
	for {
		t.mu.Lock()
		entry, ok := t.current(fault)
		changed := t.changed
		t.mu.Unlock()
		if !ok {
			return nil
		}
		if err := waitChange(ctx, changed, entry.end); err != nil {
			return err
		}
	}
}

// List returns the active faults.
func (t *Table) List() []Active {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Active
	for _, fault := range slices.Sorted(maps.Keys(t.active)) {
		entry, ok := t.current(fault)
		if !ok {
			continue
		}
		row := Active{Target: t.target, Fault: fault, Value: entry.value}
		if !entry.end.IsZero() {
			row.LeftMS = max(1, time.Until(entry.end).Milliseconds())
		}
		list = append(list, row)
	}
	return list
}

func (t *Table) current(fault string) (activation, bool) {
	entry, ok := t.active[fault]
	if !ok {
		return activation{}, false
	}
	if !entry.end.IsZero() && !time.Now().Before(entry.end) {
		delete(t.active, fault)
		return activation{}, false
	}
	return entry, true
}

func (t *Table) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}

func waitChange(ctx context.Context, changed <-chan struct{}, end time.Time) error {
	if end.IsZero() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
			return nil
		}
	}
	timer := time.NewTimer(time.Until(end))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-changed:
	case <-timer.C:
	}
	return nil
}
