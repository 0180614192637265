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
	// backoffMin and backoffMax bound the time between two failed reads, from begin to begin. The maximum keeps the recovery
	// after an outage well within the time in which a change must take effect, and leaves 2 s of LapseGrace after the end of
	// the outage.
	backoffMin = 150 * time.Millisecond
	backoffMax = 800 * time.Millisecond
	// firstBackoffMax is backoffMax for the candidates among the readers while they have no configuration. All requests are
	// refused until one of them has read it.
	firstBackoffMax = 300 * time.Millisecond
	// readerFailoverWait is how long a router that has lost its reader waits for the next one before it reads the
	// directory itself. Together with the time until a lost reader is noticed, it is well below the time in which a change
	// must take effect.
	readerFailoverWait = 250 * time.Millisecond
	// readerWait is how long a router that has read all records waits until it can follow another router, before it
	// continues to read itself. It is well below the time in which a change must take effect.
	readerWait = 1200 * time.Millisecond
	// firstReaderWait is how long a router that has just started waits until it can follow another router, while requests
	// wait for the first configuration. Running routers answer within milliseconds; a start without any is delayed by
	// this time.
	firstReaderWait = 80 * time.Millisecond
	// discoveryTime is how long routers that start together need to learn of most of the others, and thus which of them
	// reads the directory.
	discoveryTime = 300 * time.Millisecond
)

// tail reads a topic until ctx ends: first the newest record of each key, then the changes. It pauses while this router
// follows another one.
func (s *Subscriber) tail(ctx context.Context, topic kernel.Topic, wait, pause time.Duration,
	apply func(page kernel.DirectoryPage, whole bool),
) error {
	next, backoff, listedAt := noPosition, backoffMin, time.Time{}
	s.awaitFirstReader(ctx)
	for ctx.Err() == nil {
		waited := s.awaitNotFollowing(ctx)
		readers := s.options.Readers()
		if waited {
			next = noPosition
			if !readers.Candidate {
				s.awaitReader(ctx, readerFailoverWait)
			}
			continue
		}
		if topic != kernel.TopicPublication && s.failing(kernel.TopicPublication) {
			// Reading one topic is enough to notice when the directory is back, and each call is charged for.
			sleep(ctx, backoffMin)
			continue
		}
		if topic == kernel.TopicPublication && s.listOrdersAgain(listedAt) {
			next = noPosition
		}
		readWait := wait
		if s.failing(topic) {
			// A read that waits for a change would only show after its wait that the directory is back.
			readWait = 0
		}
		began := time.Now()
		page, whole, err := s.read(ctx, topic, next, readWait)
		if !whole && unreadable(err) {
			s.logger.Warn("records of the directory can't be read one after the other", zap.Stringer("topic", topic),
				zap.Stringer("next", next), zap.Error(err))
			next = noPosition
			if time.Since(listedAt) < backoffMin {
				// The list just before was of no use.
				sleep(ctx, backoffMin)
			}
			continue
		}
		if err != nil {
			s.recordFailure(topic, began, err)
			s.backOff(ctx, readers, backoff-time.Since(began))
			backoff = min(2*backoff, s.longestBackoff(readers))
			continue
		}
		backoff = backoffMin
		s.recordSuccess(topic)
		apply(page, whole)
		s.heard(began)
		if topic == kernel.TopicPublication {
			s.confirm(began)
		}
		next = page.Next
		if whole {
			listedAt = began
		}
		if whole && !readers.Candidate {
			s.awaitReader(ctx, readerWait)
			continue
		}
		sleep(ctx, pause)
	}
	return ctx.Err()
}

// unreadable reports whether a read of changes failed because the directory doesn't have them, so that the newest records have
// to be listed: it dropped them, or was restored from a copy and gives out their offsets again.
func unreadable(err error) bool {
	var trimmed *kernel.TrimmedError
	var restored *kernel.RestoredError
	return errors.As(err, &trimmed) || errors.As(err, &restored)
}

// longestBackoff returns the bound of the pause between failed reads.
func (s *Subscriber) longestBackoff(readers Readers) time.Duration {
	if s.config.Load() == nil && (readers.Candidate || len(readers.Addresses) == 0) {
		return firstBackoffMax
	}
	return backoffMax
}

// backOff waits after a failed read, for a little less than the given time. A router with readers stops waiting once it
// follows one of them.
func (s *Subscriber) backOff(ctx context.Context, readers Readers, longest time.Duration) {
	wait := max(backoffMin, longest) - rand.N(backoffMin/2)
	if len(readers.Addresses) == 0 || readers.Candidate {
		sleep(ctx, wait)
		return
	}
	s.awaitReader(ctx, wait)
}

// read returns the newest record of each key if next is negative, otherwise the changes from next on. whole reports
// which of them it returns.
func (s *Subscriber) read(ctx context.Context, topic kernel.Topic, next kernel.Position,
	wait time.Duration,
) (page kernel.DirectoryPage, whole bool, err error) {
	if next < 0 {
		page, err = s.options.Directory.Newest(ctx, topic)
		return page, true, err
	}
	page, err = s.options.Directory.Changes(ctx, topic, next, wait)
	return page, false, err
}

// sleep waits for pause, or until ctx ends.
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
