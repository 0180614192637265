package runner

import (
	"slices"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"coltsfootplank/internal/detector"
	"coltsfootplank/internal/protocol"
	"coltsfootplank/internal/ranker"
)

// probeInterval is how often a cell that stands in for the first-ranked router checks whether that router answers.
const probeInterval = time.Second

// firstRankProbe is the last probe of the first-ranked router.
type firstRankProbe struct {
	name     string
	at       time.Time
	answered bool
}

// applyView marks leaving engines, exchanges convictions with the other routers and updates the capacity share.
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
	c.shareConvictions(now)
	c.resign(view)
	c.updateShare(now)
}

// shareConvictions tells the other routers which requests and parts of prompts are suspect or poison here.
func (c *cell) shareConvictions(now time.Time) {
	if found := c.scheduler.Convictions(now); len(found) > 0 {
		c.runner.options.Members.AddConvictions(found)
	}
}

// resign tells the holders to switch to the next rank once this router is leaving. It tells all of them at the same time,
// so that the next scheduler learns of all running requests before it grants.
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

// updateShare sets the parts of the workspaces' allowances and of the engines' capacity that the scheduler may use. The
// latter is limited while another scheduler may use the same engines.
func (c *cell) updateShare(now time.Time) {
	allowanceShare := c.grantableShare(now)
	if limiter, ok := c.scheduler.(allowanceLimiter); ok {
		limiter.SetAllowanceShare(allowanceShare, c.presence.first)
	}
	share := c.targetShare(now)
	if share != c.share {
		c.scheduler.SetCapacityShare(share)
	}
	if share != c.share || allowanceShare != c.allowanceShare {
		c.share, c.allowanceShare, c.sharesChanged = share, allowanceShare, true
	}
}

// logShares logs the parts of the engines' capacity and of the allowances that the scheduler uses, if they have changed, and
// the number of its holders, at most once every reconcileInterval.
func (c *cell) logShares(now time.Time) {
	if !c.sharesChanged || now.Sub(c.sharesLoggedAt) < reconcileInterval {
		return
	}
	c.sharesChanged, c.sharesLoggedAt = false, now
	c.runner.options.Logger.Info("shares of scheduler changed", zap.String("pool", c.pool), zap.Int("cell", c.index),
		zap.Float64("capacity_share", c.share), zap.Float64("allowance_share", c.allowanceShare), zap.Int("holders", len(c.holders)))
}

// targetShare returns the part of the engines' capacity that the scheduler may use:
//   - the partition share if this router is ranked first or stands in for a first-ranked router that doesn't answer;
//   - the uncoordinated share if this router isn't among the first ranks and schedules only its own requests;
//   - the uncoordinated share times the number of holders if it stands in for a first-ranked router that still
//     answers: holders that can't reach a running scheduler must not double the load of its engines.
func (c *cell) targetShare(now time.Time) float64 {
	view, self := c.runner.options.Members.View(), c.runner.options.Self
	top := ranker.Top(c.role, view.SchedulerHosts())
	rank := slices.Index(top, self)
	switch {
	case rank == 0 || len(top) == 0:
		return view.PartitionShare()
	case rank < 0 && len(c.holders) == 1 && c.holders[self] != nil:
		return view.UncoordinatedShare()
	}
	c.probeFirst(now, top[0])
	if !c.firstProbe.answered {
		return view.PartitionShare()
	}
	return min(1, view.UncoordinatedShare()*float64(max(1, len(c.holders))))
}

// probeFirst starts a probe of the first-ranked router, at most once per probeInterval.
func (c *cell) probeFirst(now time.Time, first string) {
	if c.firstProbe.name == first && now.Sub(c.firstProbe.at) < probeInterval {
		return
	}
	answered := c.firstProbe.name == first && c.firstProbe.answered
	c.firstProbe = firstRankProbe{name: first, at: now, answered: answered}
	c.runner.spawn(func() {
		err := c.runner.options.Members.Check(c.runner.ctx, first)
		c.post(func(now time.Time) {
			if c.firstProbe.name == first {
				c.firstProbe.answered = err == nil
				c.updateShare(now)
			}
		})
	})
}

// spawn runs a function in a goroutine that Run waits for. It does nothing after the runner has stopped.
func (r *Runner) spawn(work func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.stopped {
		r.group.Go(func() error { work(); return nil })
	}
}
