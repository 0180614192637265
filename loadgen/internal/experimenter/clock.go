package experimenter

import (
	"container/heap"
	"time"
)

// clock runs events in the order of their virtual times. Events with the same time run in the order in which they were
// scheduled.
type clock struct {
	now      time.Duration
	events   events
	sequence int
}

type event struct {
	at       time.Duration
	sequence int
	run      func()
}

// after schedules run after a delay.
func (c *clock) after(delay time.Duration, run func()) { c.at(c.now+delay, run) }

// at schedules run at the given time since the start, or immediately if that time has passed.
func (c *clock) at(at time.Duration, run func()) {
	c.sequence++
	heap.Push(&c.events, event{at: max(at, c.now), sequence: c.sequence, run: run})
}

// runUntil runs all events that are due before end, and sets the time to end.
func (c *clock) runUntil(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at < end {
		next, _ := heap.Pop(&c.events).(event)
		c.now = next.at
		next.run()
	}
	c.now = end
}

// events implements heap.Interface.
type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].sequence < e[j].sequence
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push appends an event.
func (e *events) Push(x any) {
	if next, ok := x.(event); ok {
		*e = append(*e, next)
	}
}

// Pop removes the last event.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	(*e)[len(*e)-1] = event{}
	*e = (*e)[:len(*e)-1]
	return last
}
