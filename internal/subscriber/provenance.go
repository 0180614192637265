package subscriber

import (
	"time"

	"go.uber.org/zap"

	"coltsfootplank/internal/kernel"
)

// Provenance is where a configuration comes from.
type Provenance struct {
	// Position is where the directory had the record when it was last read.
	Position kernel.Position
	// Source is directory or peer, and Reader the address of the router that was followed then, empty if there was none.
	Source, Reader string
	// Since is when the configuration was put in force.
	Since time.Time
}

// Fields returns the fields of a log line that state how old a configuration is, and when the directory last confirmed that there is
// no newer one: never, if confirmed is zero.
func (c *RoutingConfig) Fields(now, confirmed time.Time) []zap.Field {
	fields := []zap.Field{
		zap.Int64("version", c.Version), zap.Stringer("position", c.Position), zap.String("source", c.Source),
		zap.Duration("in_force_for", now.Sub(c.Since)),
	}
	if c.Reader != "" {
		fields = append(fields, zap.String("reader", c.Reader))
	}
	if !confirmed.IsZero() {
		fields = append(fields, zap.Duration("confirmed_before", now.Sub(confirmed)))
	}
	return fields
}

// confirm records that the directory, or a router that reads it, had no newer publication at a time.
func (s *Subscriber) confirm(at time.Time) {
	after := int64(at.Sub(s.started))
	for known := s.confirmedAfter.Load(); after > known && !s.confirmedAfter.CompareAndSwap(known, after); {
		known = s.confirmedAfter.Load()
	}
}

// Confirmed returns when the directory, or a router that reads it, last had no newer publication; zero if that isn't known.
func (s *Subscriber) Confirmed() time.Time {
	after := s.confirmedAfter.Load()
	if after == 0 {
		return time.Time{}
	}
	return s.started.Add(time.Duration(after))
}

// logNotNewer logs a publication that isn't newer than the one in force, if the directory has an older one, or has written the same
// one again in another era. The lock must be held.
func (s *Subscriber) logNotNewer(config *RoutingConfig, publication *kernel.Publication, record kernel.DirectoryRecord, source string) {
	switch {
	case publication.Version < config.Version:
		s.logger.Warn("older publication ignored", zap.Int64("version", publication.Version), zap.Stringer("position", record.Position),
			zap.String("source", source), zap.Int64("version_in_force", config.Version))
	case record.Position.Era() > config.Position.Era():
		confirmed := *config
		confirmed.Position = record.Position
		s.config.Store(&confirmed)
		s.logger.Info("publication confirmed in a new era", zap.Int64("version", config.Version), zap.Stringer("position", record.Position),
			zap.String("source", source))
	}
}
