package subscriber

import (
	"context"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

const (
	// probeInterval is the time between two probes of an upstream whose record is held back. One without a free slot doesn't answer.
	probeInterval = 700 * time.Millisecond
	// probeTimeout bounds one probe.
	probeTimeout = 500 * time.Millisecond
	// maxProbes bounds the probes at the same time.
	maxProbes = 8
)

// silentUpstream is an upstream whose record is held back, and whose registration may have lapsed before because its heartbeats were
// lost.
type silentUpstream struct {
	held       *heldRecord
	healthPath string
}

// probeHeld asks the upstreams whose registration may have lapsed themselves whether they have left, so that those that haven't are
// used again before the time of their record is over.
func (s *Subscriber) probeHeld(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, probeInterval)
		silent := s.silentUpstreams()
		if len(silent) == 0 {
			continue
		}
		var group errgroup.Group
		group.SetLimit(maxProbes)
		for _, upstream := range silent {
			group.Go(func() error {
				s.probe(ctx, upstream)
				return nil
			})
		}
		_ = group.Wait()
	}
	return ctx.Err()
}

func (s *Subscriber) silentUpstreams() (silent []silentUpstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	config := s.config.Load()
	if config == nil {
		return nil
	}
	for _, known := range s.table.entries {
		if known.held == nil || !known.held.silent {
			continue
		}
		if service, ok := config.services[known.held.registration.Service]; ok && service.HealthPath != "" {
			silent = append(silent, silentUpstream{known.held, service.HealthPath})
		}
	}
	return silent
}

// probe asks an upstream whether it takes requests, and puts its record in force if it does.
func (s *Subscriber) probe(ctx context.Context, upstream silentUpstream) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	alive, err := s.options.Prober.Probe(ctx, upstream.held.registration, upstream.healthPath)
	s.logger.Info("upstream probed", zap.String("upstream", upstream.held.record.Key), zap.Bool("alive", alive), zap.Error(err))
	if err != nil || !alive {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if known := s.table.entries[upstream.held.record.Key]; known != nil && known.held == upstream.held {
		known.held.until = time.Now()
		s.rebuild(sourceUpstream)
	}
}
