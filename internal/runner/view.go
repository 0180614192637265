package runner

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"coltsfootplank/internal/detector"
	"coltsfootplank/internal/protocol"
	"coltsfootplank/internal/ranker"
)

// checkInterval is how often a cell that stands in for the first rank checks whether that router answers.
const checkInterval = time.Second

// firstCheck is the last probe of the first-ranked router by a cell that stands in for it.
type firstCheck struct {
	name     string
	at       time.Time
	answered bool
}

// applyView marks leaving engines, exchanges convictions with the other routers and adapts the share.
func (c *cell) applyView(now time.Time) {
	view := c.runner.options.Members.View()
	for name, e := range c.engines {
		if leaving := view.VMLeaving(e.address); leaving != e.leaving {
			e.leaving = leaving
			c.scheduler.SetLeaving(now, name, leaving)
		}
	}
	if !slices.EqualFunc(view.Convictions, c.convictions, func(a, b *protocol.Conviction) bool { return proto.Equal(a, b) }) {
		c.convictions = view.Convictions
		c.scheduler.AddConvictions(now, view.Convictions)
	}
	if found := c.scheduler.Convictions(now); len(found) > 0 {
		c.runner.options.Members.AddConvictions(found)
	}
	c.resign(view)
	c.setShare(now)
}

// resign tells the holders to turn to the next rank once this router is leaving, all at the same time: the next scheduler
// then learns of all running requests before it grants.
func (c *cell) resign(view *detector.View) {
	self, _ := view.Member(view.Self)
	if c.resigned || self.State != protocol.MemberState_MEMBER_STATE_LEAVING {
		return
	}
	c.resigned = true
	for _, h := range c.holders {
		h.session.send(&protocol.SchedulerMessage{NotScheduler: []string{c.role}})
	}
}

// setShare limits the capacity that this scheduler uses while another one may use the same engines.
func (c *cell) setShare(now time.Time) {
	if keeper, ok := c.scheduler.(allowanceKeeper); ok {
		keeper.SetAllowanceShare(c.runner.options.Members.View().AllowanceShare())
	}
	share := c.wantedShare(now)
	if share != c.share {
		c.share = share
		c.scheduler.SetCapacityShare(share)
	}
}

// wantedShare returns 1 for the first rank (less on the small side of a partition), the alone share when this router
// schedules only for itself, and the holders' part when it stands in for a first rank that still answers:
// holders that can't reach a running scheduler must not double the load of its engines.
func (c *cell) wantedShare(now time.Time) float64 {
	view, self := c.runner.options.Members.View(), c.runner.options.Self
	top := ranker.Top(c.role, view.SchedulerHosts())
	rank := slices.Index(top, self)
	switch {
	case rank == 0 || len(top) == 0:
		return view.PartitionShare()
	case rank < 0 && len(c.holders) == 1 && c.holders[self] != nil:
		return view.UncoordinatedShare()
	}
	c.checkFirst(now, top[0])
	if !c.firstSeen.answered {
		return view.PartitionShare()
	}
	return min(1, view.UncoordinatedShare()*float64(max(1, len(c.holders))))
}

// checkFirst probes the first-ranked router from time to time.
func (c *cell) checkFirst(now time.Time, first string) {
	if c.firstSeen.name == first && now.Sub(c.firstSeen.at) < checkInterval {
		return
	}
	answered := c.firstSeen.name == first && c.firstSeen.answered
	c.firstSeen = firstCheck{name: first, at: now, answered: answered}
	c.runner.spawn(func() {
		err := c.runner.options.Members.Check(c.runner.ctx, first)
		c.post(func(now time.Time) {
			if c.firstSeen.name == first {
				c.firstSeen.answered = err == nil
				c.setShare(now)
			}
		})
	})
}

// spawn runs a function that ends with the runner.
func (r *Runner) spawn(work func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.stopped {
		r.group.Go(func() error { work(); return nil })
	}
}
