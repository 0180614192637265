// Package statreader reads the counters of the platform stand-ins.
package statreader

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// readTimeout bounds one read, so that a silent stand-in can't hold up the report.
const readTimeout = 5 * time.Second

// Stats are the counters of all stand-ins. Prefill is nil if there are no such counters.
type Stats struct {
	Prefill *Prefill
	// Duplicates counts streams and bookings that ran more than once.
	Duplicates int
}

// Prefill counts prompt tokens. Wasted ones were computed for streams that nobody received to the end,
// recomputed ones had been computed before.
type Prefill struct {
	Computed   int64 `json:"prefill_tokens"`
	Wasted     int64 `json:"wasted_prefill_tokens"`
	Recomputed int64 `json:"recomputed_prefill_tokens"`
	Cached     int64 `json:"cached_prefill_tokens"`
}

// Percent returns the share of the computed tokens in percent.
func (p *Prefill) Percent(part int64) float64 {
	return 100 * float64(part) / float64(max(p.Computed, 1))
}

// StatsError reports counters that could not be read.
type StatsError struct {
	Address string
	Cause   error
}

func (e *StatsError) Error() string {
	return fmt.Sprintf("read stats of stand-in %s: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *StatsError) Unwrap() error { return e.Cause }

// StatusError reports an answer without counters.
type StatusError struct {
	Status int
}

func (e *StatusError) Error() string { return fmt.Sprintf("status %d", e.Status) }

// answer is the part of GET /control/stats that is used; all of it may be missing.
type answer struct {
	Totals *struct {
		Computed   int64 `json:"prefill_computed"`
		Wasted     int64 `json:"prefill_wasted"`
		Recomputed int64 `json:"prefill_recomputed"`
		Cached     int64 `json:"prefill_cached"`
	} `json:"totals"`
	DuplicateStreams int `json:"duplicate_streams"`
	Desks            struct {
		RequestIDs []string `json:"duplicate_request_ids"`
		Bodies     []string `json:"duplicate_bodies"`
	} `json:"desks"`
}

// Read sums the counters of all stand-ins.
func Read(ctx context.Context, addresses []string) (Stats, error) {
	var sum Stats
	for _, address := range addresses {
		got, err := get(ctx, address)
		if err != nil {
			return Stats{}, &StatsError{Address: address, Cause: err}
		}
		// The bodies of bookings are unique, so a body that ran twice is a booking that ran twice; it may or
		// may not have had the same request id.
		sum.Duplicates += got.DuplicateStreams + max(len(got.Desks.RequestIDs), len(got.Desks.Bodies))
		if got.Totals == nil {
			continue
		}
		if sum.Prefill == nil {
			sum.Prefill = &Prefill{}
		}
		sum.Prefill.Computed += got.Totals.Computed
		sum.Prefill.Wasted += got.Totals.Wasted
		sum.Prefill.Recomputed += got.Totals.Recomputed
		sum.Prefill.Cached += got.Totals.Cached
	}
	return sum, nil
}

// Since returns the difference to an earlier reading.
func (s Stats) Since(earlier Stats) Stats {
	difference := Stats{Duplicates: s.Duplicates - earlier.Duplicates}
	if s.Prefill != nil && earlier.Prefill != nil {
		difference.Prefill = &Prefill{
			Computed: s.Prefill.Computed - earlier.Prefill.Computed, Wasted: s.Prefill.Wasted - earlier.Prefill.Wasted,
			Recomputed: s.Prefill.Recomputed - earlier.Prefill.Recomputed, Cached: s.Prefill.Cached - earlier.Prefill.Cached,
		}
	}
	return difference
}

func get(ctx context.Context, address string) (*answer, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/control/stats", nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	// A failed close after the body was read loses nothing.
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, &StatusError{Status: response.StatusCode}
	}
	var got answer
	err = json.NewDecoder(response.Body).Decode(&got)
	return &got, err
}
