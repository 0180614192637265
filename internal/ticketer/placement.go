package ticketer

import (
	"strconv"
	"time"

	"coltsfootplank/internal/messenger"
	"coltsfootplank/internal/protocol"
	"coltsfootplank/internal/ranker"
)

// cellCount returns the number of cells of a pool, 0 if the catalogue doesn't have it.
func (t *Ticketer) cellCount(pool string) int {
	for i := range t.catalogue.Pools {
		if t.catalogue.Pools[i].Name == pool {
			return ranker.Cells(len(t.catalogue.Pools[i].Upstreams), t.options.CellEngines)
		}
	}
	return 0
}

// chooseCell picks the ticket's cell: by its shortest prefix, which it shares with the most others, else by request.
func (t *Ticketer) chooseCell(tk *ticket) bool {
	cells := t.cellCount(tk.message.GetPool())
	if cells == 0 {
		return false
	}
	key := tk.message.GetRequestId()
	if prefixes := tk.message.GetPrefixHashes(); len(prefixes) > 0 {
		key = strconv.FormatUint(prefixes[0], 16)
	}
	tk.cell = ranker.Cell(key, cells)
	tk.role = ranker.Role(tk.message.GetPool(), tk.cell)
	return true
}

// pick returns the router to send the tickets of a role to: the first of the ranking that is in reach, this router
// if none is.
func (t *Ticketer) pick(now time.Time, role string) string {
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

// wantedLinks returns the routers that the waiting tickets should be able to reach: their targets and the
// better ranked ones.
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

// reassign sends every waiting ticket whose stream is gone, or whose scheduler is no longer the best choice.
func (t *Ticketer) reassign(now time.Time) []decision {
	var decisions []decision
	picks := make(map[string]string)
	for _, tk := range t.tickets {
		if tk.granted {
			t.adopt(now, tk, picks)
			continue
		}
		role := tk.role
		if t.recell && !t.chooseCell(tk) {
			decisions = append(decisions, t.refuse(tk, codeNoUpstream, "the pool is not in the catalogue"))
			continue
		}
		target := t.pickOnce(now, tk.role, picks)
		if current := t.links[target]; tk.target == target && current != nil && current.outbox != nil &&
			current.outbox == tk.session && tk.role == role {
			continue
		}
		decisions = append(decisions, t.send(now, tk, target)...)
	}
	t.recell = false
	return decisions
}

// pickOnce is pick with the results of one round kept in picks.
func (t *Ticketer) pickOnce(now time.Time, role string, picks map[string]string) string {
	target, ok := picks[role]
	if !ok {
		target = t.pick(now, role)
		picks[role] = target
	}
	return target
}

// adopt tells the scheduler that this router's tickets of the role go to now of a request that runs under a grant of another
// one, or of an earlier process: it would take the engine's slot for free. The grant stays with the one that made it.
func (t *Ticketer) adopt(now time.Time, tk *ticket, picks map[string]string) {
	target := t.pickOnce(now, tk.role, picks)
	l := t.links[target]
	if owner := t.links[tk.target]; l == nil && owner != nil && now.Before(owner.refused[tk.role]) {
		// The scheduler is leaving; the next one has to know before others ask it for the slot.
		l = t.linkTo(now, target)
	}
	if l == nil || l.outbox == nil || l.outbox == tk.session || l.outbox == tk.adopters[target] {
		return
	}
	if tk.adopters == nil {
		tk.adopters = make(map[string]*messenger.Outbox[protocol.HolderMessage])
	}
	tk.adopters[target] = l.outbox
	l.held[tk.message.GetRequestId()] = true
	l.send(&protocol.HolderMessage{Adoptions: []*protocol.Adoption{tk.adoption(now)}})
}

// send starts the next attempt of a ticket at a router and withdraws it from the one before.
func (t *Ticketer) send(now time.Time, tk *ticket, target string) []decision {
	t.withdraw(tk)
	tk.attempt++
	message, expired := tk.outgoing(now)
	if expired {
		return []decision{t.refuse(tk, codeDeadlineExpired, "the deadline passed while the request waited")}
	}
	l := t.linkTo(now, target)
	tk.target, tk.session = target, l.outbox
	l.send(&protocol.HolderMessage{Tickets: []*protocol.Ticket{message}})
	return nil
}

// withdraw cancels the current attempt at the scheduler if the stream that it was sent on is still open.
func (t *Ticketer) withdraw(tk *ticket) {
	l, ok := t.links[tk.target]
	if ok && l.outbox != nil && l.outbox == tk.session {
		l.send(&protocol.HolderMessage{Cancels: []string{tk.message.GetRequestId()}})
	}
	tk.session = (*messenger.Outbox[protocol.HolderMessage])(nil)
}

// refuse ends a ticket by this router's own decision.
func (t *Ticketer) refuse(tk *ticket, code, message string) decision {
	t.withdraw(tk)
	delete(t.tickets, tk.message.GetRequestId())
	return decision{decider: tk.decider, refusal: &protocol.Refusal{
		RequestId: tk.message.GetRequestId(), Code: code, Message: message, Attempt: tk.attempt,
	}}
}
