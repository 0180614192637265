package subscriber

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"coltsfootplank/internal/kernel"
)

const (
	// backoffMin and backoffMax bound the pause between failed reads. The upper bound keeps the recovery after an outage
	// well within the time in which a change must be in force.
	backoffMin = 150 * time.Millisecond
	backoffMax = 1200 * time.Millisecond
	// followerBackoff is how many times longer the pauses of a router are that others read for: those find out when the
	// directory is back. Where they can't, the longest pause is still below the time after an outage in which bounds don't hold.
	followerBackoff = 2
	// readerSwitch is how long a router that has lost its reader looks for the next one before it reads by itself. With the
	// time until a reader counts as silent it stays well below that in which a change must be in force.
	readerSwitch = 250 * time.Millisecond
	// readerWait is how long a router that has read all waits for another one to follow before it reads on by itself. It
	// is well below the time in which a change must be in force.
	readerWait = 1200 * time.Millisecond
	// firstReaderWait is how long a router that has just started waits for another one to follow while requests wait for the
	// first plan. The others answer within some milliseconds; a start without others is held up by this time.
	firstReaderWait = 80 * time.Millisecond
	// meetTime is how long routers that start together need to know most of each other, and so which of them reads.
	meetTime = 300 * time.Millisecond
)

// health says since when the reads of a topic succeed or fail.
type health struct {
	known   bool
	failing bool
	since   time.Time
}

// tail reads a topic until ctx ends: first the newest record of each key, then the changes.
func (s *Subscriber) tail(ctx context.Context, topic kernel.Topic, wait, pause time.Duration,
	apply func(page kernel.DirectoryPage, whole bool),
) error {
	next, backoff := int64(-1), backoffMin
	s.awaitFirstReader(ctx)
	for ctx.Err() == nil {
		waited := s.awaitDirect(ctx)
		readers := s.options.Readers()
		if waited {
			next = -1
			if !readers.Candidate {
				s.awaitReader(ctx, readerSwitch)
			}
			continue
		}
		if topic != kernel.TopicPublication && s.publicationFails() {
			// One topic is enough to find out when the directory is back; its calls are paid for.
			sleep(ctx, backoffMin)
			continue
		}
		page, whole, err := s.read(ctx, topic, next, wait)
		var trimmed *kernel.TrimmedError
		if errors.As(err, &trimmed) {
			s.logger.Warn("directory records dropped unread", zap.Stringer("topic", topic), zap.Int64("next", next),
				zap.Int64("first", trimmed.First))
			next = -1
			continue
		}
		if err != nil {
			s.failed(topic, err)
			s.backOff(ctx, readers, backoff)
			backoff = min(2*backoff, backoffMax)
			continue
		}
		backoff = backoffMin
		s.succeeded(topic)
		apply(page, whole)
		next = page.Next
		if whole && !readers.Candidate {
			s.awaitReader(ctx, readerWait)
			continue
		}
		sleep(ctx, pause)
	}
	return ctx.Err()
}

// backOff waits after a failed read; a router that others read for waits longer, or until it follows one of them.
func (s *Subscriber) backOff(ctx context.Context, readers Readers, backoff time.Duration) {
	wait := backoff/2 + rand.N(backoff/2)
	if len(readers.Addresses) == 0 || readers.Candidate {
		sleep(ctx, wait)
		return
	}
	s.awaitReader(ctx, wait*followerBackoff)
}

func (s *Subscriber) read(ctx context.Context, topic kernel.Topic, next int64, wait time.Duration) (page kernel.DirectoryPage, whole bool, err error) {
	if next < 0 {
		page, err = s.options.Directory.Newest(ctx, topic)
		return page, true, err
	}
	page, err = s.options.Directory.Changes(ctx, topic, next, wait)
	return page, false, err
}

// reads says whether this router's own last reads succeeded.
func (s *Subscriber) reads() bool {
	for _, h := range s.health {
		if !h.known || h.failing {
			return false
		}
	}
	return true
}

func (s *Subscriber) publicationFails() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.health[kernel.TopicPublication].failing
}

func (s *Subscriber) failed(topic kernel.Topic, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := &s.health[topic]
	if h.known && !h.failing {
		s.logger.Warn("directory lost", zap.Stringer("topic", topic), zap.Error(err))
	}
	if !h.failing {
		*h = health{known: true, failing: true, since: time.Now()}
		s.announceChange()
	}
}

func (s *Subscriber) succeeded(topic kernel.Topic) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := &s.health[topic]
	switch {
	case !h.known:
		s.logger.Info("directory reached", zap.Stringer("topic", topic))
		*h = health{known: true}
	case h.failing:
		s.logger.Info("directory regained", zap.Stringer("topic", topic), zap.Duration("after", time.Since(h.since)))
		*h = health{known: true, since: time.Now()}
	}
}

// sleep waits, or until ctx ends.
func sleep(ctx context.Context, pause time.Duration) {
	if pause <= 0 {
		return
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
