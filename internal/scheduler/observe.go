package scheduler

import (
	"time"

	"coltsfootplank/internal/kernel"
)

// ObserveLoad takes an engine's load report, or the error of the poll.
func (s *Scheduler) ObserveLoad(_ time.Time, engine string, report kernel.LoadReport, err error) {
	e := s.engines.byName[engine]
	if e == nil || err != nil {
		return
	}
	_ = report
	s.dirty = true
}

// ObserveCache takes a page of an engine's cache events.
func (s *Scheduler) ObserveCache(_ time.Time, engine string, events kernel.CacheEvents) {
	_, _ = engine, events
}
