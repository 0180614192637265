package subscriber

import (
	"time"

	"go.uber.org/zap"

	"coltsfootplank/internal/kernel"
)

// health is the state of this router's own reads of a topic. It isn't known before the first read, and after the router has
// followed another one.
type health struct {
	known   bool
	failing bool
	// since is when the first of the reads that fail was noticed.
	since time.Time
	// failedAt is when the last read that failed began; zero if none has failed. The directory was back no earlier.
	failedAt time.Time
}

// ownReadsHealthy reports whether this router's own last reads of all topics succeeded.
func (s *Subscriber) ownReadsHealthy() bool {
	for _, h := range s.health {
		if !h.known || h.failing {
			return false
		}
	}
	return true
}

// failing reports whether the last read of a topic failed.
func (s *Subscriber) failing(topic kernel.Topic) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.health[topic].failing
}

// recordFailure records that a read that began at the given time failed.
func (s *Subscriber) recordFailure(topic kernel.Topic, began time.Time, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := &s.health[topic]
	if !h.failing {
		s.logger.Warn("directory lost", zap.Stringer("topic", topic), zap.Error(err))
		h.known, h.failing, h.since = true, true, time.Now()
		s.notifyFollowers()
	}
	h.failedAt = began
	now := time.Now()
	s.table.postpone(now.Add(s.holdTime()))
	if now.Before(s.lostUntil()) {
		// What was lost can't have been written again.
		s.restoredAfter = began
		s.table.extendLapses(now, s.lapsesUntil())
	}
}

func (s *Subscriber) recordSuccess(topic kernel.Topic) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := &s.health[topic]
	switch {
	case !h.known:
		s.logger.Info("directory reached", zap.Stringer("topic", topic))
	case h.failing:
		s.logger.Info("directory regained", zap.Stringer("topic", topic), zap.Duration("after", time.Since(h.since)))
	}
	h.known, h.failing = true, false
}
