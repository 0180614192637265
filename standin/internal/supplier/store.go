// Package supplier simulates the rate-limited weight store.
package supplier

import (
	"context"
	"maps"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"coltsfootplank/standin/internal/faulter"
	"coltsfootplank/standin/internal/hoster"
)

// Faults of the weight store besides those of every hosted part.
const (
	FaultOutage = "outage"
	FaultRate   = "rate"
)

// Settings describe the weight store. LoadMS is the time of one fetch.
type Settings struct {
	Name           string  `yaml:"name"`
	Address        string  `yaml:"address"`
	LoadsPerSecond float64 `yaml:"loads_per_second"`
	Burst          int     `yaml:"burst"`
	LoadMS         int     `yaml:"load_ms"`
}

// OutageError is the answer during an outage.
type OutageError struct{}

func (*OutageError) Error() string { return "the weight store is out of service" }

// RateError is the answer to a fetch over the rate.
type RateError struct{}

func (*RateError) Error() string { return "weight fetch rate exceeded" }

// Store is the simulated weight store on its own address.
type Store struct {
	settings Settings
	table    *faulter.Table
	limiter  *rate.Limiter
	host     *hoster.Host
	fetched  atomic.Int64
	refused  atomic.Int64
}

// Stats count fetches that were served and that were over the rate.
type Stats struct {
	Fetched     int64 `json:"fetched"`
	RateRefused int64 `json:"rate_refused"`
}

// NewTable returns the fault table of the weight store.
func NewTable(name string) *faulter.Table {
	known := hoster.CommonFaults()
	maps.Copy(known, map[string]string{
		FaultOutage: "all calls answer 503",
		FaultRate:   "the rate is value fetches per second",
	})
	return faulter.NewTable(name, known)
}

// New starts the weight store; it runs until ctx ends.
func New(
	ctx context.Context, group *errgroup.Group, log *zap.Logger, settings Settings, table *faulter.Table,
) (*Store, error) {
	if settings.LoadsPerSecond == 0 {
		settings.LoadsPerSecond = 2
	}
	settings.Burst = max(1, settings.Burst)
	s := &Store{
		settings: settings, table: table,
		limiter: rate.NewLimiter(rate.Limit(settings.LoadsPerSecond), settings.Burst),
	}
	r := chi.NewRouter()
	r.Get("/v1/weights/{model}", s.handleFetch)
	host, err := hoster.New(ctx, group, log, settings.Name, settings.Address, table, r)
	if err != nil {
		return nil, err
	}
	s.host = host
	host.HookDown()
	return s, nil
}

// Address returns the "ip:port" of the weight store.
func (s *Store) Address() string { return s.host.Address() }

// Stats returns the counters of the weight store.
func (s *Store) Stats() Stats {
	return Stats{Fetched: s.fetched.Load(), RateRefused: s.refused.Load()}
}

func (s *Store) handleFetch(w http.ResponseWriter, r *http.Request) {
	if _, out := s.table.Get(FaultOutage); out {
		hoster.WriteProblem(w, http.StatusServiceUnavailable, &OutageError{})
		return
	}
	limit := rate.Limit(s.settings.LoadsPerSecond)
	if value, on := s.table.Get(FaultRate); on {
		limit = rate.Limit(value.Or(1))
	}
	if s.limiter.Limit() != limit {
		s.limiter.SetLimit(limit)
	}
	if !s.limiter.Allow() {
		s.refused.Add(1)
		hoster.WriteProblem(w, http.StatusTooManyRequests, &RateError{})
		return
	}
	select {
	case <-r.Context().Done():
		hoster.Abort()
	case <-time.After(time.Duration(s.settings.LoadMS) * time.Millisecond):
	}
	s.fetched.Add(1)
	hoster.WriteJSON(w, http.StatusOK, map[string]string{"model": chi.URLParam(r, "model")})
}
