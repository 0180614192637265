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

// Faults of the weight store besides those that all components have.
const (
	FaultOutage = "outage"
	FaultRate   = "rate"
)

// Settings configure the weight store. LoadMS is the duration of one fetch.
type Settings struct {
	Name           string  `yaml:"name"`
	Address        string  `yaml:"address"`
	LoadsPerSecond float64 `yaml:"loads_per_second"`
	Burst          int     `yaml:"burst"`
	LoadMS         int     `yaml:"load_ms"`
}

// OutageError is the error response during an outage.
type OutageError struct{}

func (*OutageError) Error() string { return "the weight store is out of service" }

// RateError is the error response to a fetch above the rate limit.
type RateError struct{}

func (*RateError) Error() string { return "weight fetch rate exceeded" }

// Store is the simulated weight store, which listens on its own address.
type Store struct {
	settings    Settings
	table       *faulter.Table
	limiter     *rate.Limiter
	host        *hoster.Host
	fetched     atomic.Int64
	rateRefused atomic.Int64
}

// Stats count the fetches that were served and those refused by the rate limit.
type Stats struct {
	Fetched     int64 `json:"fetched"`
	RateRefused int64 `json:"rate_refused"`
}

// NewTable returns the fault table of the weight store.
func NewTable(name string) *faulter.Table {
	descriptions := hoster.CommonFaults()
	maps.Copy(descriptions, map[string]string{
		FaultOutage: "all requests get status 503",
		FaultRate:   "fetches are limited to value per second",
	})
	return faulter.NewTable(name, descriptions)
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
	host.HookDownFault()
	return s, nil
}

// Address returns the "ip:port" of the weight store.
func (s *Store) Address() string { return s.host.Address() }

// Stats returns the counters of the weight store.
func (s *Store) Stats() Stats {
	return Stats{Fetched: s.fetched.Load(), RateRefused: s.rateRefused.Load()}
}

func (s *Store) handleFetch(w http.ResponseWriter, r *http.Request) {
	if _, outage := s.table.Get(FaultOutage); outage {
		hoster.WriteError(w, http.StatusServiceUnavailable, &OutageError{})
		return
	}
	limit := rate.Limit(s.settings.LoadsPerSecond)
	if value, on := s.table.Get(FaultRate); on {
		limit = rate.Limit(value.NumberOr(1))
	}
	if s.limiter.Limit() != limit {
		s.limiter.SetLimit(limit)
	}
	if !s.limiter.Allow() {
		s.rateRefused.Add(1)
		hoster.WriteError(w, http.StatusTooManyRequests, &RateError{})
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
