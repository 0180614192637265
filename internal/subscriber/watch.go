package subscriber

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"io"
	"slices"
	"time"

	"go.uber.org/zap"

	"coltsfootplank/internal/kernel"
	"coltsfootplank/internal/protocol"
)

const (
	// updateInterval is the time after which a follower gets an update even if nothing has changed. Two updates may be
	// lost before the follower treats the stream as broken.
	updateInterval = 400 * time.Millisecond
	// followInterval is the time between attempts to follow a reader.
	followInterval = 500 * time.Millisecond
	// noReaderInterval is the time between checks for a reader while none is known, as after the start.
	noReaderInterval = 20 * time.Millisecond
	// failoverInterval is the time between attempts after the reader was lost, until the next one takes over.
	failoverInterval = 50 * time.Millisecond
	// maxRecordBytes is the size limit of a decompressed record, as that of an answer of the directory.
	maxRecordBytes = 8 << 20
)

// follower is what a router that follows this one has.
type follower struct {
	// version is that of its publication.
	version uint64
	// position is the last one up to which it had every change of the registrations when it began to follow.
	position kernel.Position
	// sent holds the positions of the records that it was sent, by key.
	sent map[string]kernel.Position
	// listed is the number of listings of the directory when it was last sent the names of the registered upstreams and of the
	// orders; negative if it wasn't.
	listed int
	// unsettled is set if records were held back then.
	unsettled bool
}

// Serve sends all changes to a follower, and an update without changes every updateInterval, until ctx ends or send
// fails.
func (s *Subscriber) Serve(ctx context.Context, request *protocol.WatchRequest,
	send func(*protocol.WatchUpdate) error,
) error {
	f := &follower{version: request.GetRevision(), position: kernel.Position(request.GetOffset()), sent: make(map[string]kernel.Position), listed: -1}
	ticker := time.NewTicker(updateInterval)
	defer ticker.Stop()
	for {
		state, publication, changed, reading := s.pendingUpdate(f)
		update := &protocol.WatchUpdate{Reading: reading, Publication: publication}
		if state.Registered != nil || len(state.Upstreams) > 0 || len(state.Orders) > 0 {
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

// pendingUpdate returns the records that a follower doesn't have yet and marks them as sent. It also returns a channel
// that is closed at the next change and whether this router reads the directory itself.
func (s *Subscriber) pendingUpdate(f *follower) (state snapshot, publication []byte, changed <-chan struct{}, reading bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if current := s.version(); current > f.version {
		if s.compressed == nil {
			s.compressed = compressRecord(s.publication)
		}
		f.version, publication = current, s.compressed
	}
	state.Orders = s.unsentOrders(f.sent)
	s.statePosition(&state)
	listing := (f.listed != s.listings || f.unsettled && state.Held == nil) && s.registrationsKnown
	if listing {
		state.Consulted = s.consulted == s.era
		state.Registered, f.listed, f.unsettled = s.table.registered(), s.listings, state.Held != nil
		state.Orders, state.OrdersNext = s.listOrders(), s.ordersNext
	}
	for key, known := range s.table.entries {
		last, alreadySent := f.sent[key]
		if !alreadySent {
			last = f.position
		}
		// What is held back may be in force at a follower that has read the copy itself.
		if known.changed <= last && (!listing || known.held == nil) {
			continue
		}
		f.sent[key] = known.changed
		state.add(known)
	}
	// A router that follows another one must not be followed itself, since two routers could then follow each other.
	return state, publication, s.changed, s.reading()
}

// compressRecord encodes and compresses a record. A configuration with hundreds of routes is sent to tens of followers
// at once, over a link that may have only 10 Mbit/s.
func compressRecord(record kernel.DirectoryRecord) []byte {
	var buffer bytes.Buffer
	writer := gzip.NewWriter(&buffer)
	// Neither encoding this struct nor writing to a buffer can fail.
	_ = json.NewEncoder(writer).Encode(record)
	_ = writer.Close()
	return buffer.Bytes()
}

// decompressRecord is the inverse of compressRecord. Errors: *kernel.MalformedRecordError.
func decompressRecord(data []byte) (kernel.DirectoryRecord, error) {
	var record kernel.DirectoryRecord
	reader, err := gzip.NewReader(bytes.NewReader(data))
	if err == nil {
		data, err = io.ReadAll(io.LimitReader(reader, maxRecordBytes+1))
	}
	if err == nil && len(data) > maxRecordBytes {
		err = &RecordTooLargeError{Limit: maxRecordBytes}
	}
	if err == nil {
		err = json.Unmarshal(data, &record)
	}
	if err != nil {
		return kernel.DirectoryRecord{}, &kernel.MalformedRecordError{Key: "publication", Cause: err}
	}
	return record, nil
}

// applyUpdate applies an update from the reader.
func (s *Subscriber) applyUpdate(update *protocol.WatchUpdate) error {
	var state snapshot
	if len(update.GetState()) > 0 {
		if err := json.Unmarshal(update.GetState(), &state); err != nil {
			return &kernel.MalformedRecordError{Key: "update", Cause: err}
		}
		if s.outdated(state) {
			return &OutdatedEraError{Era: state.Next.Era(), Known: s.Era()}
		}
		s.applyOrdersOf(state)
	}
	if len(update.GetPublication()) > 0 {
		record, err := decompressRecord(update.GetPublication())
		if err != nil {
			return err
		}
		s.publish(record, sourcePeer)
	}
	if len(update.GetState()) > 0 {
		s.applyRegistrations(state, update.GetReading())
	}
	if update.GetReading() {
		s.heard(time.Now())
		s.confirm(time.Now())
	}
	return nil
}

// notifyFollowers wakes the streams to the followers.
func (s *Subscriber) notifyFollowers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// follow follows the readers until ctx ends: the first one that can read the directory, and the next one when it is
// lost.
func (s *Subscriber) follow(ctx context.Context) error {
	var lost time.Time
	for ctx.Err() == nil {
		pause := noReaderInterval
		for _, reader := range s.options.Readers().Addresses {
			if s.watch(ctx, reader) {
				lost = time.Now()
				break
			}
			pause = followInterval
		}
		if time.Since(lost) < readerFailoverWait {
			pause = failoverInterval
		}
		sleep(ctx, pause)
	}
	return ctx.Err()
}

// watch follows one reader until its stream breaks, it can't read the directory, or it is no longer one of the readers.
// It reports whether that reader was followed.
func (s *Subscriber) watch(ctx context.Context, reader string) bool {
	reason := "the stream broke"
	err := s.options.Watch(ctx, reader, s.watchRequest(), func(update *protocol.WatchUpdate) bool {
		if err := s.applyUpdate(update); err != nil {
			s.logger.Warn("applying an update from the reader failed", zap.String("reader", reader), zap.Error(err))
			reason = "its update can't be applied"
			return false
		}
		switch {
		case !update.GetReading():
			reason = "it doesn't read the directory"
		case !slices.Contains(s.options.Readers().Addresses, reader):
			reason = "it is no longer a reader of this router"
		default:
			s.setFollowing(reader)
			return true
		}
		return false
	})
	followed := s.setFollowing("")
	if followed && ctx.Err() == nil {
		s.logger.Info("reader lost", zap.String("reader", reader), zap.String("reason", reason), zap.Error(err))
	}
	return followed
}

// watchRequest states what this router has.
func (s *Subscriber) watchRequest() *protocol.WatchRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &protocol.WatchRequest{Revision: s.version(), Offset: int64(s.table.settled() - 1)}
}

// setFollowing records which router is followed, empty for none, and reports whether that has changed.
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
	for i := range s.health {
		// This router can't tell by its own reads any more whether the directory can be read.
		s.health[i].known, s.health[i].failing = false, false
	}
	close(s.followingChanged)
	s.followingChanged = make(chan struct{})
	return true
}

// awaitReader waits until another router is followed, but no longer than wait. It doesn't wait if there is none to
// follow.
func (s *Subscriber) awaitReader(ctx context.Context, wait time.Duration) {
	s.mu.Lock()
	switched, following := s.followingChanged, s.following != ""
	s.mu.Unlock()
	// A router that has just started doesn't know yet which routers it could follow.
	joining := time.Since(s.started) < readerWait
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

// awaitFirstReader waits after the start until this router can follow another one. While no request waits for the first
// configuration, there is time to find out which router reads the directory. Without that, each of hundreds of routers
// that start together would read all of it.
func (s *Subscriber) awaitFirstReader(ctx context.Context) {
	s.awaitReader(ctx, firstReaderWait)
	for ctx.Err() == nil && time.Since(s.started) < readerWait {
		select {
		case <-s.awaited:
			return
		default:
		}
		if s.isFollowing() || time.Since(s.started) >= discoveryTime && len(s.options.Readers().Addresses) == 0 {
			return
		}
		sleep(ctx, noReaderInterval)
	}
}

func (s *Subscriber) isFollowing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.following != ""
}

// awaitNotFollowing waits until this router follows no other one and so has to read the directory itself. It reports
// whether it had to wait.
func (s *Subscriber) awaitNotFollowing(ctx context.Context) bool {
	waited := false
	for {
		s.mu.Lock()
		following, switched := s.following != "", s.followingChanged
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
