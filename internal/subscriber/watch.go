package subscriber

import (
	"context"
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"coltsfootplank/internal/protocol"
)

const (
	// updateInterval is the time after which a follower is told that nothing has changed; two of them may be lost before
	// it counts the reader as silent.
	updateInterval = 400 * time.Millisecond
	// followInterval is the time between tries to follow a reader.
	followInterval = 500 * time.Millisecond
)

// Serve tells a follower of all that changes, and from time to time that nothing has, until ctx ends or send fails.
func (s *Subscriber) Serve(ctx context.Context, request *protocol.WatchRequest, send func(*protocol.WatchUpdate) error) error {
	version := request.GetRevision()
	sent := make(map[string]int64)
	ticker := time.NewTicker(updateInterval)
	defer ticker.Stop()
	for {
		state, changed, reading := s.news(&version, request.GetOffset(), sent)
		update := &protocol.WatchUpdate{Reading: reading}
		if state.Publication.Value != nil || len(state.Upstreams) > 0 {
			data, err := json.Marshal(state)
			if err != nil {
				return err
			}
			update.State = data
		}
		if err := send(update); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-ticker.C:
		}
	}
}

// news returns what a follower doesn't know, notes it as sent, and returns a channel that is closed at the next change.
func (s *Subscriber) news(version *uint64, offset int64, sent map[string]int64) (state snapshot, changed <-chan struct{}, reading bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if current := s.version(); current > *version {
		*version, state.Publication = current, s.publication
	}
	now := time.Now()
	for key, known := range s.table.entries {
		if known.changed <= max(offset, sent[key]) || !known.dropAt.IsZero() && now.Before(known.dropAt) {
			continue
		}
		sent[key] = known.changed
		state.Upstreams = append(state.Upstreams, known.record)
	}
	// A router that follows another one isn't followed itself: two could follow each other.
	return state, s.changed, s.following == "" && s.reads()
}

// announceChange wakes the followers' streams.
func (s *Subscriber) announceChange() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// follow takes what changes from another router that reads the directory, as long as there is one and it can read.
func (s *Subscriber) follow(ctx context.Context) error {
	for ctx.Err() == nil {
		if leader := s.options.Leader(); leader != "" && s.Plan() != nil {
			s.watch(ctx, leader)
		}
		sleep(ctx, followInterval)
	}
	return ctx.Err()
}

// watch follows one router until its stream breaks, it can't read, or another one is to be followed.
func (s *Subscriber) watch(ctx context.Context, leader string) {
	version, offset := s.Revision()
	err := s.options.Watch(ctx, leader, &protocol.WatchRequest{Revision: version, Offset: offset}, func(update *protocol.WatchUpdate) bool {
		if len(update.GetState()) > 0 {
			if err := s.Adopt(update.GetState()); err != nil {
				s.logger.Warn("reader's update not taken over", zap.String("reader", leader), errorField(err))
				return false
			}
		}
		if !update.GetReading() || s.options.Leader() != leader {
			return false
		}
		s.setFollowing(leader)
		return true
	})
	if s.setFollowing("") && ctx.Err() == nil {
		s.logger.Info("reader lost", zap.String("reader", leader), errorField(err))
	}
}

// setFollowing notes which router is followed, if any, and returns whether that is news.
func (s *Subscriber) setFollowing(leader string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.following == leader {
		return false
	}
	if leader != "" {
		s.logger.Info("reader followed", zap.String("reader", leader))
	}
	s.following = leader
	close(s.switched)
	s.switched = make(chan struct{})
	return true
}

// awaitDirect waits until this router has to read the directory itself. It returns whether it had to wait.
func (s *Subscriber) awaitDirect(ctx context.Context) bool {
	waited := false
	for {
		s.mu.Lock()
		following, switched := s.following != "", s.switched
		s.mu.Unlock()
		if !following {
			return waited
		}
		waited = true
		select {
		case <-ctx.Done():
			return waited
		case <-switched:
		}
	}
}
