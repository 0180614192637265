package ticketer

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// TicketState describes one open ticket in the state dump. Scheduler is the router that it was sent to; Engine is set
// while the ticket holds a grant.
type TicketState struct {
	RequestID string `json:"request_id"`
	Role      string `json:"role"`
	Scheduler string `json:"scheduler"`
	Connected bool   `json:"connected"`
	Attempt   uint32 `json:"attempt"`
	Granted   bool   `json:"granted"`
	Engine    string `json:"engine,omitempty"`
	AgeMS     int64  `json:"age_ms"`
}

// LinkState describes the link to one scheduler in the state dump.
type LinkState struct {
	Scheduler string   `json:"scheduler"`
	Open      bool     `json:"open"`
	Confirmed bool     `json:"confirmed"`
	BrokenMS  int64    `json:"broken_ms_ago,omitempty"`
	Held      int      `json:"held_grants"`
	Refused   []string `json:"refused_roles,omitempty"`
}

// State is the ticketer's section of the state dump.
type State struct {
	Tickets []TicketState `json:"tickets"`
	Links   []LinkState   `json:"links"`
}

// Dump returns the open tickets, oldest first, and the links to schedulers.
func (t *Ticketer) Dump() any {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	state := State{Tickets: make([]TicketState, 0, len(t.tickets)), Links: make([]LinkState, 0, len(t.links))}
	for id, tk := range t.tickets {
		l := t.links[tk.target]
		state.Tickets = append(state.Tickets, TicketState{
			RequestID: id, Role: tk.role, Scheduler: tk.target, Attempt: tk.attempt, Granted: tk.granted, Engine: tk.engine,
			Connected: l != nil && l.outbox != nil && l.outbox == tk.outbox,
			AgeMS:     now.Sub(tk.submitted).Milliseconds() + tk.message.GetAgeMs(),
		})
	}
	slices.SortFunc(state.Tickets, func(a, b TicketState) int {
		return cmp.Or(cmp.Compare(b.AgeMS, a.AgeMS), cmp.Compare(a.RequestID, b.RequestID))
	})
	for _, name := range slices.Sorted(maps.Keys(t.links)) {
		l := t.links[name]
		row := LinkState{
			Scheduler: name, Open: l.outbox != nil, Confirmed: l.confirmed, Held: len(l.held),
			Refused: slices.Sorted(maps.Keys(l.refusedUntil)),
		}
		if !l.brokenAt.IsZero() {
			row.BrokenMS = now.Sub(l.brokenAt).Milliseconds()
		}
		state.Links = append(state.Links, row)
	}
	return state
}
