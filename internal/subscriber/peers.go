package subscriber

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// peerInterval is the time between attempts to fetch a peer's snapshot.
const peerInterval = 500 * time.Millisecond

// Wanted is what the state of a peer must have to be fetched.
type Wanted int

const (
	// WantedNewer is a newer publication or newer registrations.
	WantedNewer Wanted = iota
	// WantedPublication is a newer publication.
	WantedPublication
	// WantedAny is any state.
	WantedAny
)

// lag is how this router's publication compares to those of its peers.
type lag struct {
	version uint64
	// behind reports whether a peer has a newer one.
	behind bool
}

// pollPeers fetches and applies snapshots of peers:
//   - while neither this router nor one that it follows reads the directory;
//   - in each era of the directory that this router reads, until a peer has told what the copy may lack;
//   - while a peer has had a newer publication for peerInterval, since that of the directory may be a copy.
func (s *Subscriber) pollPeers(ctx context.Context) error {
	var last lag
	for {
		sleep(ctx, peerInterval)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		now := s.lag()
		wanted, ok := s.wanted(now.behind && now == last)
		last = now
		if !ok {
			continue
		}
		data, err := s.options.FetchSnapshot(ctx, wanted)
		if err == nil && data != nil {
			err = s.applySnapshot(data, wanted == WantedAny)
		}
		if err != nil && ctx.Err() == nil {
			s.logger.Warn("getting a snapshot from a peer failed", zap.Error(err))
		}
	}
}

func (s *Subscriber) lag() lag {
	newest := s.options.PeerVersion()
	s.mu.Lock()
	defer s.mu.Unlock()
	version := s.version()
	return lag{version: version, behind: newest > version}
}

// wanted returns what this router wants from a peer now, and whether it wants anything. behind reports whether a peer has a newer
// publication.
func (s *Subscriber) wanted(behind bool) (wanted Wanted, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.following == "" && !s.ownReadsHealthy():
		return WantedNewer, true
	case behind:
		s.logger.Warn("publication is older than that of a peer", zap.Uint64("version", s.version()), zap.String("reader", s.following))
		return WantedPublication, true
	case s.following == "" && s.consulted < s.era:
		return WantedAny, true
	}
	return 0, false
}
