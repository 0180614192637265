package subscriber

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"slices"
	"time"

	"go.uber.org/zap"

	"coltsfootplank/internal/kernel"
	"coltsfootplank/internal/protocol"
)

const (
	// updateInterval is the time after which a follower is told that nothing has changed; two of them may be lost before
	// it counts the reader as silent.
	updateInterval = 400 * time.Millisecond
	// followInterval is the time between tries to follow a reader.
	followInterval = 500 * time.Millisecond
	// lookInterval is the time between looks for a reader while none is known, as at the start.
	lookInterval = 20 * time.Millisecond
	// switchInterval is the time between tries after the reader was lost, while the next one takes over.
	switchInterval = 50 * time.Millisecond
)

// Serve tells a follower of all that changes, and from time to time that nothing has, until ctx ends or send fails.
func (s *Subscriber) Serve(ctx context.Context, request *protocol.WatchRequest, send func(*protocol.WatchUpdate) error) error {
	version := request.GetRevision()
	sent := make(map[string]int64)
	ticker := time.NewTicker(updateInterval)
	defer ticker.Stop()
	for {
		state, publication, changed, reading := s.news(&version, request.GetOffset(), sent)
		update := &protocol.WatchUpdate{Reading: reading, Publication: publication}
		if len(state.Upstreams) > 0 {
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
func (s *Subscriber) news(version *uint64, offset int64, sent map[string]int64) (state snapshot, publication []byte, changed <-chan struct{}, reading bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if current := s.version(); current > *version {
		if s.packed == nil {
			s.packed = pack(s.publication)
		}
		*version, publication = current, s.packed
	}
	now := time.Now()
	for key, known := range s.table.entries {
		last, told := sent[key]
		if !told {
			last = offset
		}
		if known.changed <= last || !known.dropAt.IsZero() && now.Before(known.dropAt) {
			continue
		}
		sent[key] = known.changed
		state.Upstreams = append(state.Upstreams, known.record)
	}
	// A router that follows another one isn't followed itself: two could follow each other.
	return state, publication, s.changed, s.following == "" && s.reads()
}

// pack compresses a record: a configuration of hundreds of routes goes to tens of followers at once, over a link that may
// carry 10 Mbit/s.
func pack(record kernel.DirectoryRecord) []byte {
	var buffer bytes.Buffer
	writer := gzip.NewWriter(&buffer)
	// Neither a buffer nor a struct of numbers, texts and bytes gives an error.
	_ = json.NewEncoder(writer).Encode(record)
	_ = writer.Close()
	return buffer.Bytes()
}

// unpack is the inverse of pack. Errors: *kernel.MalformedRecordError.
func unpack(data []byte) (kernel.DirectoryRecord, error) {
	var record kernel.DirectoryRecord
	reader, err := gzip.NewReader(bytes.NewReader(data))
	if err == nil {
		err = json.NewDecoder(reader).Decode(&record)
	}
	if err != nil {
		return record, &kernel.MalformedRecordError{Key: "publication", Cause: err}
	}
	return record, nil
}

// take takes over what a reader's update brings.
func (s *Subscriber) take(update *protocol.WatchUpdate) error {
	if len(update.GetPublication()) > 0 {
		record, err := unpack(update.GetPublication())
		if err != nil {
			return err
		}
		s.publish(record, sourcePeer)
	}
	if len(update.GetState()) > 0 {
		return s.ApplySnapshot(update.GetState())
	}
	return nil
}

// announceChange wakes the followers' streams.
func (s *Subscriber) announceChange() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// follow takes what changes from another router that reads the directory, as long as there is one that can read.
func (s *Subscriber) follow(ctx context.Context) error {
	var lost time.Time
	for ctx.Err() == nil {
		pause := lookInterval
		for _, reader := range s.options.Readers().Addresses {
			if s.watch(ctx, reader) {
				lost = time.Now()
				break
			}
			pause = followInterval
		}
		if time.Since(lost) < readerSwitch {
			pause = switchInterval
		}
		sleep(ctx, pause)
	}
	return ctx.Err()
}

// watch follows one router until its stream breaks, it can't read, or it isn't one of the readers any more. It returns whether
// that router was followed.
func (s *Subscriber) watch(ctx context.Context, reader string) bool {
	version, offset := s.Revision()
	err := s.options.Watch(ctx, reader, &protocol.WatchRequest{Revision: version, Offset: offset}, func(update *protocol.WatchUpdate) bool {
		if err := s.take(update); err != nil {
			s.logger.Warn("reader's update not taken over", zap.String("reader", reader), zap.Error(err))
			return false
		}
		if !update.GetReading() || !slices.Contains(s.options.Readers().Addresses, reader) {
			return false
		}
		s.setFollowing(reader)
		return true
	})
	followed := s.setFollowing("")
	if followed && ctx.Err() == nil {
		s.logger.Info("reader lost", zap.String("reader", reader), zap.Error(err))
	}
	return followed
}

// setFollowing notes which router is followed, if any, and returns whether that is news.
func (s *Subscriber) setFollowing(reader string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.following == reader {
		return false
	}
	if reader != "" {
		s.logger.Info("reader followed", zap.String("reader", reader))
	}
	s.following = reader
	close(s.switched)
	s.switched = make(chan struct{})
	return true
}

// awaitReader waits for a moment until another router is followed, if there is one to follow.
func (s *Subscriber) awaitReader(ctx context.Context, wait time.Duration) {
	s.mu.Lock()
	switched, following := s.switched, s.following != ""
	s.mu.Unlock()
	// A router that has just started doesn't know yet whom to follow.
	joining := time.Since(s.began) < readerWait
	if following || !joining && len(s.options.Readers().Addresses) == 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-switched:
	case <-timer.C:
	}
}

// awaitFirstReader waits after a start for another router to follow. Without requests that wait for the first plan there is time
// to find out which router reads: each of hundreds that start together would otherwise read everything.
func (s *Subscriber) awaitFirstReader(ctx context.Context) {
	s.awaitReader(ctx, firstReaderWait)
	for ctx.Err() == nil && time.Since(s.began) < readerWait {
		select {
		case <-s.wanted:
			return
		default:
		}
		if s.isFollowing() || time.Since(s.began) >= meetTime && len(s.options.Readers().Addresses) == 0 {
			return
		}
		sleep(ctx, lookInterval)
	}
}

func (s *Subscriber) isFollowing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.following != ""
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
