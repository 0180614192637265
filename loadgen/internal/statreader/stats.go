// Package statreader reads the counters of the platform stand-ins.
package statreader

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// readTimeout limits one request, so that an unresponsive stand-in can't block the report.
const readTimeout = 5 * time.Second

// Stats are the sums of the counters of all stand-ins. Prefill is nil if no stand-in has prefill counters.
type Stats struct {
	Prefill *Prefill
	// Duplicates counts streams and bookings that ran more than once.
	Duplicates int
}

// Prefill counts prompt tokens. Wasted tokens were computed for streams that no caller received to the end, recomputed
// tokens had been computed before.
type Prefill struct {
	Computed   int64 `json:"prefill_tokens"`
	Wasted     int64 `json:"wasted_prefill_tokens"`
	Recomputed int64 `json:"recomputed_prefill_tokens"`
	Cached     int64 `json:"cached_prefill_tokens"`
}

// Percent returns part as a percentage of the computed tokens.
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

// StatusError reports a response with a status other than 200.
type StatusError struct {
	Status int
}

func (e *StatusError) Error() string { return fmt.Sprintf("status %d", e.Status) }

// statsResponse holds the fields of the response to GET /control/stats that are used. Each of them may be missing.
type statsResponse struct {
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
		response, err := fetch(ctx, address)
		if err != nil {
			return Stats{}, &StatsError{Address: address, Cause: err}
		}
		// The bodies of bookings are unique, so a duplicate body is a booking that ran twice, with the same request ID or
		// with another one. The larger of the two counts therefore counts no booking twice.
		sum.Duplicates += response.DuplicateStreams + max(len(response.Desks.RequestIDs), len(response.Desks.Bodies))
		if response.Totals == nil {
			continue
		}
		if sum.Prefill == nil {
			sum.Prefill = &Prefill{}
		}
		sum.Prefill.Computed += response.Totals.Computed
		sum.Prefill.Wasted += response.Totals.Wasted
		sum.Prefill.Recomputed += response.Totals.Recomputed
		sum.Prefill.Cached += response.Totals.Cached
	}
	return sum, nil
}

// Since returns the difference between these counters and earlier ones.
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

func fetch(ctx context.Context, address string) (*statsResponse, error) {
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
	// An error on close after the body was read loses no data.
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, &StatusError{Status: response.StatusCode}
	}
	var stats statsResponse
	err = json.NewDecoder(response.Body).Decode(&stats)
	return &stats, err
}
