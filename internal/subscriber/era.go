package subscriber

import (
	"time"

	"go.uber.org/zap"
)

// noEra is lower than any era of the directory.
const noEra = -1

// enterEra records the era of what arrives from the directory or a peer. If it is a new one, the directory was restored after
// this router has last heard of the era before. The lock must be held.
func (s *Subscriber) enterEra(era int64) {
	if era <= s.era {
		return
	}
	if s.era != noEra {
		s.restoredAfter = s.heardAt
		for _, h := range s.health {
			if h.failedAt.After(s.restoredAfter) {
				s.restoredAfter = h.failedAt
			}
		}
		s.logger.Warn("directory was restored from a copy", zap.Int64("era", era), zap.Int64("era_before", s.era),
			zap.Duration("lapses_for", max(0, time.Until(s.lapsesUntil()))))
		s.table.extendLapses(time.Now(), s.lapsesUntil())
	}
	s.era = era
}

// heard records that the directory was in the known era at a time.
func (s *Subscriber) heard(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.After(s.heardAt) {
		s.heardAt = at
	}
}

// Era returns the newest era of the directory that this router has heard of, from the directory or a peer; negative before that.
func (s *Subscriber) Era() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// outdated reports whether a peer's state is of an earlier era than what this router knows: the peer has missed that the
// directory was restored.
func (s *Subscriber) outdated(state snapshot) bool { return state.Next.Era() < s.Era() }
