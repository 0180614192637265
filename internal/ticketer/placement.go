package ticketer

import (
	"math/rand/v2"
	"strconv"
	"time"

	"coltsfootplank/internal/cataloguer"
	"coltsfootplank/internal/messenger"
	"coltsfootplank/internal/protocol"
	"coltsfootplank/internal/ranker"
)

const (
	// noUpstreamRetryAfter is the shortest Retry-After for a pool without upstreams. After an outage of the directory
	// upstreams register again within about two seconds. Up to noUpstreamRetrySpread more keeps the callers from returning
	// all at once.
	noUpstreamRetryAfter  = time.Second
	noUpstreamRetrySpread = 500 * time.Millisecond
)

// pool returns a pool of the catalogue, or nil.
func (t *Ticketer) pool(name string) *cataloguer.Pool {
	for i := range t.catalogue.Pools {
		if t.catalogue.Pools[i].Name == name {
			return &t.catalogue.Pools[i]
		}
	}
	return nil
}

// chooseCell assigns a ticket to a cell by the hash of its shortest prefix, which it shares with the most other requests. A
// ticket without prefixes goes to the cells in proportion to their engines. It returns false if the pool isn't in the
// catalogue.
func (t *Ticketer) chooseCell(tk *ticket) bool {
	pool := t.pool(tk.message.GetPool())
	if pool == nil {
		return false
	}
	cells := ranker.Cells(len(pool.Upstreams), t.options.CellEngines)
	if prefixes := tk.message.GetPrefixHashes(); len(prefixes) > 0 {
		tk.cell = ranker.Cell(strconv.FormatUint(prefixes[0], 16), cells)
	} else {
		tk.cell = ranker.WorkCell(tk.message.GetRequestId(), pool.Upstreams, cells)
	}
	tk.role = ranker.Role(tk.message.GetPool(), tk.cell)
	return true
}

// pickScheduler returns the router to send the tickets of a role to: the highest-ranked one with a usable link, or this
// router if there is none.
func (t *Ticketer) pickScheduler(now time.Time, role string) string {
	view := t.options.Members.View()
	for _, name := range ranker.Top(role, view.SchedulerHosts()) {
		if name == t.options.Self {
			return name
		}
		member, _ := view.Member(name)
		l, ok := t.links[name]
		if !ok {
			l = &link{}
		}
		if l.usable(now, role, member) {
			return name
		}
	}
	return t.options.Self
}

// wantedLinks returns the routers to which the waiting tickets need a link: their targets, and the routers ranked
// above them, to which they move once those are usable.
func (t *Ticketer) wantedLinks() map[string]bool {
	wanted := make(map[string]bool)
	roles := make(map[string]string)
	for _, tk := range t.tickets {
		if !tk.granted {
			roles[tk.role] = tk.target
		}
	}
	ranked := t.options.Members.View().SchedulerHosts()
	for role, target := range roles {
		if target != "" {
			wanted[target] = true
		}
		for _, name := range ranker.Top(role, ranked) {
			if name == target {
				break
			}
			wanted[name] = true
		}
	}
	return wanted
}

// reassign resends every waiting ticket whose stream has ended or whose scheduler is no longer the best choice, and
// announces granted requests to new schedulers.
func (t *Ticketer) reassign(now time.Time) []decision {
	var decisions []decision
	picks := make(map[string]string)
	for _, tk := range t.tickets {
		if tk.granted {
			t.sendAdoption(now, tk, picks)
			continue
		}
		role := tk.role
		if t.cellsChanged && !t.chooseCell(tk) {
			decisions = append(decisions, t.refuse(tk, codeNoUpstream, "the pool is not in the catalogue"))
			continue
		}
		target := t.pickSchedulerCached(now, tk.role, picks)
		if current := t.links[target]; tk.target == target && current != nil && current.outbox != nil &&
			current.outbox == tk.outbox && tk.role == role {
			continue
		}
		decisions = append(decisions, t.send(now, tk, target)...)
	}
	t.cellsChanged = false
	return decisions
}

// pickSchedulerCached is pickScheduler with the results cached in picks.
func (t *Ticketer) pickSchedulerCached(now time.Time, role string, picks map[string]string) string {
	target, ok := picks[role]
	if !ok {
		target = t.pickScheduler(now, role)
		picks[role] = target
	}
	return target
}

// sendAdoption tells the current scheduler of a role about a request that runs under a grant of another scheduler, or
// of an earlier process of the same one. Otherwise that scheduler would treat the engine's slot as free. The grant
// remains with the scheduler that made it.
func (t *Ticketer) sendAdoption(now time.Time, tk *ticket, picks map[string]string) {
	target := t.pickSchedulerCached(now, tk.role, picks)
	l := t.links[target]
	if granter := t.links[tk.target]; l == nil && granter != nil && now.Before(granter.refusedUntil[tk.role]) {
		// The granting scheduler is leaving; its successor must know of the request before it grants the slot again.
		l = t.linkTo(now, target)
	}
	if l == nil || l.outbox == nil || l.outbox == tk.outbox || l.outbox == tk.adopters[target] {
		return
	}
	if tk.adopters == nil {
		tk.adopters = make(map[string]*messenger.Outbox[protocol.HolderMessage])
	}
	tk.adopters[target] = l.outbox
	l.held[tk.message.GetRequestId()] = true
	l.send(&protocol.HolderMessage{Adoptions: []*protocol.Adoption{tk.adoption(now)}})
}

// send sends a ticket to a router as a new attempt, after withdrawing the previous attempt.
func (t *Ticketer) send(now time.Time, tk *ticket, target string) []decision {
	t.withdraw(tk)
	tk.attempt++
	message, expired := tk.outgoing(now)
	if expired {
		return []decision{t.refuse(tk, codeDeadlineExpired, "the deadline passed while the request waited")}
	}
	l := t.linkTo(now, target)
	tk.target, tk.outbox = target, l.outbox
	l.send(&protocol.HolderMessage{Tickets: []*protocol.Ticket{message}})
	return nil
}

// withdraw cancels the current attempt of a ticket if the stream that it was sent on is still open.
func (t *Ticketer) withdraw(tk *ticket) {
	l, ok := t.links[tk.target]
	if ok && l.outbox != nil && l.outbox == tk.outbox {
		l.send(&protocol.HolderMessage{Cancels: []string{tk.message.GetRequestId()}})
	}
	tk.outbox = (*messenger.Outbox[protocol.HolderMessage])(nil)
}

// refuse ends a ticket and returns the refusal to deliver, for refusals that this router decides itself.
func (t *Ticketer) refuse(tk *ticket, code, message string) decision {
	t.withdraw(tk)
	delete(t.tickets, tk.message.GetRequestId())
	refusal := &protocol.Refusal{RequestId: tk.message.GetRequestId(), Code: code, Message: message, Attempt: tk.attempt}
	if code == codeNoUpstream {
		refusal.RetryAfterMs = (noUpstreamRetryAfter + rand.N(noUpstreamRetrySpread)).Milliseconds()
	}
	return decision{handler: tk.handler, refusal: refusal}
}
