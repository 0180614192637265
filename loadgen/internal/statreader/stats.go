// Package statreader reads the prefill counters of the platform stand-ins.
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

// Prefill counts prompt tokens. Wasted ones were computed and thrown away, recomputed ones were computed again
// although they had been cached.
type Prefill struct {
	Tokens     int64 `json:"prefill_tokens"`
	Wasted     int64 `json:"wasted_prefill_tokens"`
	Recomputed int64 `json:"recomputed_prefill_tokens"`
}

// Percent returns the share of the computed tokens in percent.
func (p *Prefill) Percent(part int64) float64 { return 100 * float64(part) / float64(max(p.Tokens, 1)) }

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

// Read sums the counters of all stand-ins. It returns nil without an error if they have no prefill counters.
func Read(ctx context.Context, addresses []string) (*Prefill, error) {
	var sum Prefill
	found := false
	for _, address := range addresses {
		stats, err := get(ctx, address)
		if err != nil {
			return nil, &StatsError{Address: address, Cause: err}
		}
		found = sum.add(stats) || found
	}
	if !found {
		return nil, nil
	}
	return &sum, nil
}

// Since returns the difference to an earlier reading; nil if either reading has no counters.
func (p *Prefill) Since(earlier *Prefill) *Prefill {
	if p == nil || earlier == nil {
		return nil
	}
	return &Prefill{Tokens: p.Tokens - earlier.Tokens, Wasted: p.Wasted - earlier.Wasted,
		Recomputed: p.Recomputed - earlier.Recomputed}
}

func get(ctx context.Context, address string) (any, error) {
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
	var stats any
	err = json.NewDecoder(response.Body).Decode(&stats)
	return stats, err
}

// add sums the counters of one answer. They stand at its top, or in nested objects of single engines.
func (p *Prefill) add(value any) bool {
	found := false
	switch typed := value.(type) {
	case map[string]any:
		if tokens, ok := typed["prefill_tokens"].(float64); ok {
			p.Tokens += int64(tokens)
			p.Wasted += count(typed["wasted_prefill_tokens"])
			p.Recomputed += count(typed["recomputed_prefill_tokens"])
			return true
		}
		for _, nested := range typed {
			found = p.add(nested) || found
		}
	case []any:
		for _, nested := range typed {
			found = p.add(nested) || found
		}
	}
	return found
}

func count(value any) int64 {
	number, _ := value.(float64)
	return int64(number)
}
