package scheduler

import "time"

// Counters counts decisions since the scheduler was made.
type Counters struct {
	Since    time.Time      `json:"since"`
	Grants   int            `json:"grants"`
	Refusals map[string]int `json:"refusals"`
	// CrashedRuns counts requests that were in flight when an engine crashed.
	CrashedRuns int `json:"crashed_runs"`
}

// Dump is the state of a scheduler for operators.
type Dump struct {
	Pool     string       `json:"pool"`
	Queue    []DumpQueue  `json:"queue"`
	Grants   []DumpGrant  `json:"grants"`
	Engines  []DumpEngine `json:"engines"`
	Counters Counters     `json:"counters"`
}

// DumpQueue lists one workspace's queued tickets of one tier, oldest first.
type DumpQueue struct {
	Tier      int          `json:"tier"`
	Workspace string       `json:"workspace"`
	Counter   float64      `json:"virtual_tokens"`
	Tickets   []DumpTicket `json:"tickets"`
}

// DumpTicket is one queued ticket and why it waits.
type DumpTicket struct {
	RequestID string `json:"request_id"`
	Holder    string `json:"holder"`
	Work      string `json:"work"`
	Tokens    int    `json:"estimated_tokens"`
	Reason    string `json:"reason"`
}

// DumpGrant is one grant in flight.
type DumpGrant struct {
	RequestID string    `json:"request_id"`
	Holder    string    `json:"holder"`
	Engine    string    `json:"engine"`
	Tier      int       `json:"tier"`
	Workspace string    `json:"workspace"`
	GrantedAt time.Time `json:"granted_at"`
}

// DumpEngine is the view of one engine.
type DumpEngine struct {
	Name         string  `json:"name"`
	Slots        int     `json:"slots"`
	InFlight     int     `json:"in_flight"`
	Tokens       float64 `json:"tokens_in_flight"`
	AheadSeconds float64 `json:"work_ahead_seconds"`
	Leaving      bool    `json:"leaving"`
}

// Dump returns the state for operators.
func (s *Scheduler) Dump() Dump {
	dump := Dump{Pool: s.pool, Counters: s.counters}
	for _, e := range s.engines.list {
		dump.Engines = append(dump.Engines, DumpEngine{Name: e.info.Name, Slots: e.slots, InFlight: len(e.granted),
			Tokens: e.tokens, AheadSeconds: e.ahead, Leaving: e.leaving})
	}
	return dump
}
