// Package faulter stores the faults that are active on each component of the platform.
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
	target       string
	descriptions map[string]string
	mu           sync.Mutex
	active       map[string]activation
	changed      chan struct{}
	hooks        map[string]func(Value, time.Duration)
}

// activation is one active fault. A zero end means that the fault stays on until it is cleared.
type activation struct {
	value Value
	end   time.Time
}

// ActiveFault is one entry in the list of active faults. LeftMS is the remaining time in milliseconds, 0 if the fault
// stays on until it is cleared.
type ActiveFault struct {
	Target string `json:"target"`
	Fault  string `json:"fault"`
	Value  Value  `json:"value"`
	LeftMS int64  `json:"left_ms"`
}

// NewTable returns a table without active faults; descriptions maps each fault of the target to its description.
func NewTable(target string, descriptions map[string]string) *Table {
	return &Table{
		target: target, descriptions: descriptions,
		active: make(map[string]activation), changed: make(chan struct{}),
		hooks: make(map[string]func(Value, time.Duration)),
	}
}

// Hook registers a function that runs when fault is switched on. It must be called before the table is shared.
func (t *Table) Hook(fault string, run func(value Value, duration time.Duration)) {
	t.hooks[fault] = run
}

// FaultNames returns the names of the target's faults in alphabetical order.
func (t *Table) FaultNames() []string {
	return slices.Sorted(maps.Keys(t.descriptions))
}

// Set switches a fault on for the duration, or until it is cleared if the duration is 0. Errors: *UnknownFaultError.
func (t *Table) Set(fault string, value Value, duration time.Duration) error {
	if _, ok := t.descriptions[fault]; !ok {
		return &UnknownFaultError{Target: t.target, Fault: fault, Known: t.FaultNames()}
	}
	entry := activation{value: value}
	if duration > 0 {
		entry.end = time.Now().Add(duration)
	}
	t.mu.Lock()
	t.active[fault] = entry
	t.notify()
	t.mu.Unlock()
	if hook := t.hooks[fault]; hook != nil {
		hook(value, duration)
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

// Get returns the value of a fault and reports whether the fault is on.
func (t *Table) Get(fault string) (Value, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry, ok := t.current(fault)
	return entry.value, ok
}

// Triggers reports whether a fault applies to this event: it is on and the probability given by its value is met.
func (t *Table) Triggers(fault string) bool {
	value, ok := t.Get(fault)
	return ok && value.Sample()
}

// Take returns the value of an active fault and switches it off, so that it applies only once.
func (t *Table) Take(fault string) (Value, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry, ok := t.current(fault)
	delete(t.active, fault)
	return entry.value, ok
}

// Wait blocks while a fault is on. It returns the context's error if ctx ends first.
func (t *Table) Wait(ctx context.Context, fault string) error {
	for {
		t.mu.Lock()
		entry, ok := t.current(fault)
		changed := t.changed
		t.mu.Unlock()
		if !ok {
			return nil
		}
		if err := waitForChange(ctx, changed, entry.end); err != nil {
			return err
		}
	}
}

// ActiveFaults returns the active faults of the target.
func (t *Table) ActiveFaults() []ActiveFault {
	t.mu.Lock()
	defer t.mu.Unlock()
	var faults []ActiveFault
	for _, fault := range slices.Sorted(maps.Keys(t.active)) {
		entry, ok := t.current(fault)
		if !ok {
			continue
		}
		row := ActiveFault{Target: t.target, Fault: fault, Value: entry.value}
		if !entry.end.IsZero() {
			row.LeftMS = max(1, time.Until(entry.end).Milliseconds())
		}
		faults = append(faults, row)
	}
	return faults
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

func waitForChange(ctx context.Context, changed <-chan struct{}, end time.Time) error {
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
