package launcher

import (
	"coltsfootplank/standin/internal/appender"
	"coltsfootplank/standin/internal/generator"
	"coltsfootplank/standin/internal/supplier"
)

// Stats is the response to GET /control/stats. Totals is the sum of Engines.
type Stats struct {
	Addresses map[string]string          `json:"addresses"`
	Totals    generator.Stats            `json:"totals"`
	Engines   map[string]generator.Stats `json:"engines"`
	// DuplicateStreams counts repeated runs of a stream id on any engine; DuplicateStreamIDs lists the first of these
	// ids.
	DuplicateStreams   int            `json:"duplicate_streams"`
	DuplicateStreamIDs []string       `json:"duplicate_stream_ids"`
	Desks              DeskStats      `json:"desks"`
	Log                appender.Stats `json:"log"`
	Weights            supplier.Stats `json:"weights"`
}

// DeskStats counts the runs and crashes of all order desks. Duplicate request ids and bodies exclude GET requests.
type DeskStats struct {
	Runs                int      `json:"runs"`
	Crashes             int64    `json:"crashes"`
	DuplicateRequestIDs []string `json:"duplicate_request_ids"`
	DuplicateBodies     []string `json:"duplicate_bodies"`
}

// Stats collects the counters of all components.
func (p *Platform) Stats() Stats {
	stats := Stats{
		Addresses: p.Addresses(), Engines: make(map[string]generator.Stats, len(p.engines)),
		Log: p.log.Stats(), Weights: p.weights.Stats(),
	}
	for _, engine := range p.engines {
		counters := engine.Stats()
		stats.Engines[engine.Name()] = counters
		stats.Totals.Add(counters)
	}
	stats.DuplicateStreams, stats.DuplicateStreamIDs = p.tracker.Duplicates()
	report := p.ledger.Report()
	stats.Desks = DeskStats{
		Runs: len(report.Runs), DuplicateRequestIDs: report.DuplicateRequestIDs,
		DuplicateBodies: report.DuplicateBodies,
	}
	for _, desk := range p.desks {
		stats.Desks.Crashes += desk.Crashes()
	}
	return stats
}
