package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"coltsfootplank/internal/isolator"
	"coltsfootplank/internal/limiter"
)

// Counters counts decisions since the scheduler was created.
type Counters struct {
	Since    time.Time      `json:"since"`
	Grants   int            `json:"grants"`
	Refusals map[string]int `json:"refusals"`
	// CrashedRuns counts requests that were in flight when an engine crashed.
	CrashedRuns int `json:"crashed_runs"`
}

// Dump is the state of a scheduler for operators.
type Dump struct {
	Pool    string       `json:"pool"`
	Queue   []DumpQueue  `json:"queue"`
	Grants  []DumpGrant  `json:"grants"`
	Engines []DumpEngine `json:"engines"`
	// Suspects are the requests and parts of prompts that are suspected of crashing engines or refused for it.
	Suspects []isolator.DumpEntry `json:"suspects"`
	Counters Counters             `json:"counters"`
}

// DumpQueue lists one workspace's queued tickets of one tier, oldest first.
type DumpQueue struct {
	Tier          int          `json:"tier"`
	Workspace     string       `json:"workspace"`
	VirtualTokens float64      `json:"virtual_tokens"`
	Tickets       []DumpTicket `json:"tickets"`
}

// DumpTicket is one queued ticket and the reason why it waits.
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

// DumpEngine is the scheduler's view of one engine. LastExclusion is the last reason to take it out of use; it is kept
// after the engine's return.
type DumpEngine struct {
	Name            string  `json:"name"`
	Generation      string  `json:"generation"`
	Usable          bool    `json:"usable"`
	Slots           int     `json:"slots"`
	Window          int     `json:"window,omitempty"`
	WindowTokens    int     `json:"window_prompt_tokens,omitempty"`
	BeyondSlots     int     `json:"beyond_slots,omitempty"`
	InFlight        int     `json:"in_flight"`
	ForeignInFlight int     `json:"foreign_in_flight"`
	Tokens          float64 `json:"tokens_in_flight"`
	// TokenRoom is the number of tokens that requests in flight may fill, OrphanedTokens those of requests that may run
	// although their grants have ended. TokenRoom is 0 if the engine's memory isn't known.
	TokenRoom      float64 `json:"token_room"`
	OrphanedTokens float64 `json:"orphaned_tokens,omitempty"`
	AheadSeconds   float64 `json:"work_ahead_seconds"`
	Prefill        float64 `json:"prefill_tokens_per_second"`
	Decode         float64 `json:"output_tokens_per_second"`
	Baseline       float64 `json:"baseline_output_tokens_per_second"`
	// WorkFactor is how long work takes on the engine's machine now, relative to the usual time. The speeds are the usual ones.
	WorkFactor float64 `json:"work_factor"`
	Prefixes   int     `json:"prefixes"`
	Leaving    bool    `json:"leaving"`
	// Pauses holds until when the engine wants no requests from a router.
	Pauses map[string]time.Time `json:"pauses,omitempty"`
	// Unreachable holds until when a router that could not connect gets no grants of the engine.
	Unreachable     map[string]time.Time `json:"unreachable,omitempty"`
	LastExclusion   string               `json:"last_exclusion,omitempty"`
	LastExclusionAt time.Time            `json:"last_exclusion_at,omitzero"`
}

// Dump returns a copy of the state for operators.
func (s *Scheduler) Dump() Dump {
	dump := Dump{Pool: s.pool, Counters: s.counters, Suspects: s.isolator.Dump()}
	dump.Counters.Refusals = maps.Clone(s.counters.Refusals)
	queues := make(map[dumpKey]*DumpQueue)
	for _, r := range sortedByArrival(s.requests) {
		if r.engine != nil {
			dump.Grants = append(dump.Grants, DumpGrant{RequestID: r.ticket.GetRequestId(), Holder: r.holder,
				Engine: r.engine.info.Name, Tier: r.tier, Workspace: r.account.workspace, GrantedAt: r.grantedAt})
			continue
		}
		key := dumpKey{r.tier, r.account.workspace}
		q := queues[key]
		if q == nil {
			q = &DumpQueue{Tier: r.tier, Workspace: r.account.workspace, VirtualTokens: r.account.counter}
			queues[key] = q
		}
		q.Tickets = append(q.Tickets, DumpTicket{RequestID: r.ticket.GetRequestId(), Holder: r.holder,
			Work: r.ticket.GetWork(), Tokens: int(r.tokens()), Reason: string(s.waitReason(r))})
	}
	for _, key := range slices.SortedFunc(maps.Keys(queues), compareDumpKeys) {
		dump.Queue = append(dump.Queue, *queues[key])
	}
	for _, e := range s.engines.list {
		dump.Engines = append(dump.Engines, e.dump(s.engines.now))
	}
	return dump
}

type dumpKey struct {
	tier      int
	workspace string
}

func compareDumpKeys(a, b dumpKey) int {
	return cmp.Or(cmp.Compare(a.tier, b.tier), strings.Compare(a.workspace, b.workspace))
}

// sortedByArrival returns the requests in order of arrival.
func sortedByArrival(requests map[string]*request) []*request {
	return slices.SortedFunc(maps.Values(requests), func(a, b *request) int {
		switch {
		case older(a, b):
			return -1
		case older(b, a):
			return 1
		}
		return 0
	})
}

// waitReason returns why a queued ticket isn't granted.
func (s *Scheduler) waitReason(r *request) blockReason {
	switch {
	case r.workQueue.throttledIndex >= 0 && r.workQueue.verdict == limiter.TokensReached:
		return blockTokens
	case r.workQueue.throttledIndex >= 0:
		return blockConcurrency
	case r.workQueue.flow.head != r:
		return blockTurn
	}
	if found := s.engines.blockOf(r); found != blockNone {
		return found
	}
	return blockTurn
}

func (e *engine) dump(now time.Time) DumpEngine {
	var room, orphaned float64
	if e.memory() > 0 {
		room = e.room()
	}
	for _, o := range e.orphans {
		orphaned += o.tokens
	}
	return DumpEngine{Name: e.info.Name, Generation: e.info.Generation, Usable: e.usable(), Slots: e.slots,
		Window: e.pace.Requests(), WindowTokens: e.windowTokens(), BeyondSlots: e.extraSlots,
		InFlight: len(e.granted), ForeignInFlight: e.foreignInFlight,
		Tokens: e.tokensInFlight, TokenRoom: room, OrphanedTokens: orphaned, AheadSeconds: e.ahead,
		Prefill: e.prefill.Value(), Decode: e.decode.Value(), Baseline: e.decode.Baseline(), WorkFactor: e.work.value(now),
		Prefixes: len(e.cache.lastSeen), Leaving: e.leaving || e.draining || e.asked.leaving, Pauses: maps.Clone(e.asked.pauses),
		Unreachable: e.reach.pauses(), LastExclusion: e.reason, LastExclusionAt: e.reasonAt}
}
