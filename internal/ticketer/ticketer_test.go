package ticketer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootplank/internal/cataloguer"
	"coltsfootplank/internal/protocol"
)

const (
	alive   = protocol.MemberState_MEMBER_STATE_ALIVE
	dead    = protocol.MemberState_MEMBER_STATE_DEAD
	leaving = protocol.MemberState_MEMBER_STATE_LEAVING
)

// TestGrantOfOldAttempt guards against two grants being used for one request, and against unused grants that aren't
// released.
func TestGrantOfOldAttempt(t *testing.T) {
	runWithTicketer(t, func(t *testing.T, s *fixture) {
		first := s.schedulers[s.ranked[0]]
		s.submit(0)
		assert.DeepEqual(t, first.received(), []string{"hello[]", "ticket r#1 age 0 left 0"})
		first.grant(7)
		assert.DeepEqual(t, first.received(), []string{"release r#7 RELEASE_KIND_UNUSED"})
		first.grant(1)
		first.grant(1)
		assert.DeepEqual(t, first.received(), []string{}) // a repeated grant is in use and must not be released
		first.reply(&protocol.SchedulerMessage{Refusals: []*protocol.Refusal{{RequestId: "r", Code: "late", Attempt: 1}}})
		assert.DeepEqual(t, s.handler.decisions(), []string{"granted#1"})
	})
}

// TestTicketMoves guards against tickets that stay with a scheduler that is no longer ranked first, because a
// higher-ranked router joins or the scheduler leaves, and against tickets that lose their age or deadline when they
// move.
func TestTicketMoves(t *testing.T) {
	cases := []struct {
		name     string
		change   func(t *testing.T, s *fixture)
		from, to int
	}{
		{name: "outranked", from: 1, to: 0, change: func(t *testing.T, s *fixture) { s.setMember(t, s.ranked[0], 2, alive) }},
		{name: "leaving", from: 1, to: 2, change: func(t *testing.T, s *fixture) { s.setMember(t, s.ranked[1], 1, leaving) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runWithTicketer(t, func(t *testing.T, s *fixture) {
				s.setMember(t, s.ranked[0], 1, dead)
				from, to := s.schedulers[s.ranked[c.from]], s.schedulers[s.ranked[c.to]]
				s.submit(time.Minute)
				assert.DeepEqual(t, from.received(), []string{"hello[]", "ticket r#1 age 0 left 60000"})
				time.Sleep(50 * time.Millisecond)
				c.change(t, s)
				assert.DeepEqual(t, to.received(), []string{"hello[]", "ticket r#2 age 50 left 59950"})
				assert.DeepEqual(t, from.received(), []string{"cancel r"})
				from.grant(1)
				assert.DeepEqual(t, from.received(), []string{"release r#1 RELEASE_KIND_UNUSED"})
				to.grant(2)
				assert.DeepEqual(t, s.handler.decisions(), []string{"granted#2"})
			})
		})
	}
}

// TestBrokenStream guards against tickets that don't move until the member table changes when a stream breaks, against
// accepting grants of the old stream, and against tickets that move back to a scheduler that keeps restarting.
func TestBrokenStream(t *testing.T) {
	runWithTicketer(t, func(t *testing.T, s *fixture) {
		first, second := s.schedulers[s.ranked[0]], s.schedulers[s.ranked[1]]
		s.submit(0)
		first.received()
		oldReceive := first.receive
		first.breakStream(false)
		assert.DeepEqual(t, second.received(), []string{"hello[]", "ticket r#2 age 0 left 0"})
		oldReceive(&protocol.SchedulerMessage{
			Grants: []*protocol.Grant{{RequestId: "r", Attempt: 1}, {RequestId: "r", Attempt: 2}},
		})
		assert.DeepEqual(t, s.handler.decisions(), []string{})
		time.Sleep(retryInterval + stabilityTime - 100*time.Millisecond)
		assert.DeepEqual(t, first.received(), []string{"hello[]"}) // reopened, but not stable yet
		time.Sleep(300 * time.Millisecond)
		assert.Equal(t, len(first.received()), 1, "the ticket moves back")
		assert.DeepEqual(t, second.received(), []string{"cancel r"})
	})
}

// TestReleaseOverNewStream guards against grants that stay in use at a scheduler because the release was made while no
// stream was open.
func TestReleaseOverNewStream(t *testing.T) {
	runWithTicketer(t, func(t *testing.T, s *fixture) {
		first := s.schedulers[s.ranked[0]]
		s.submit(0)
		first.received()
		first.grant(1)
		first.breakStream(true)
		time.Sleep(700 * time.Millisecond)
		s.ticketer.Release(&protocol.Release{RequestId: "r", Kind: protocol.ReleaseKind_RELEASE_KIND_ANSWERED})
		first.mu.Lock()
		first.down = false
		first.mu.Unlock()
		time.Sleep(700 * time.Millisecond)
		assert.DeepEqual(t, first.received(), []string{"hello[r]", "release r#1 RELEASE_KIND_ANSWERED"})
	})
}

// TestGrantKeptAfterReconnect guards against a reconnection that frees the grant of a running request or requests
// another.
func TestGrantKeptAfterReconnect(t *testing.T) {
	runWithTicketer(t, func(t *testing.T, s *fixture) {
		first := s.schedulers[s.ranked[0]]
		s.submit(0)
		first.received()
		first.grant(1)
		first.breakStream(false)
		time.Sleep(700 * time.Millisecond)
		assert.DeepEqual(t, first.received(), []string{"hello[r]"})
		assert.DeepEqual(t, s.schedulers[s.ranked[1]].received(), []string{})
	})
}

// TestReturnedGrant guards against a request that isn't resent after its grant was returned, and against a cancelled
// request that keeps its grant.
func TestReturnedGrant(t *testing.T) {
	runWithTicketer(t, func(t *testing.T, s *fixture) {
		first := s.schedulers[s.ranked[0]]
		s.submit(0)
		first.received()
		first.grant(1)
		time.Sleep(20 * time.Millisecond)
		s.ticketer.Release(&protocol.Release{RequestId: "r", Kind: protocol.ReleaseKind_RELEASE_KIND_UNREACHABLE})
		assert.DeepEqual(t, first.received(), []string{"release r#1 RELEASE_KIND_UNREACHABLE", "ticket r#2 age 20 left 0"})
		first.grant(2)
		assert.DeepEqual(t, s.handler.decisions(), []string{"granted#1", "granted#2"})
		s.ticketer.Cancel("r")
		assert.DeepEqual(t, first.received(), []string{"release r#2 RELEASE_KIND_UNUSED"})
		s.ticketer.Release(&protocol.Release{RequestId: "r", Kind: protocol.ReleaseKind_RELEASE_KIND_UNUSED})
		assert.DeepEqual(t, first.received(), []string{}) // a release after Cancel is ignored
	})
}

// TestNotScheduler guards against tickets that stay with, or are resent to, a router that doesn't schedule their cell.
func TestNotScheduler(t *testing.T) {
	runWithTicketer(t, func(t *testing.T, s *fixture) {
		first, second := s.schedulers[s.ranked[0]], s.schedulers[s.ranked[1]]
		s.submit(0)
		first.received()
		first.reply(&protocol.SchedulerMessage{NotScheduler: []string{"chat/0"}})
		assert.DeepEqual(t, second.received(), []string{"hello[]", "ticket r#2 age 0 left 0"})
		assert.DeepEqual(t, first.received(), []string{}) // the refused ticket needs no cancel
	})
}

// TestNoReachableScheduler guards against requests that wait forever, or beyond their deadline, when no other router is
// reachable.
func TestNoReachableScheduler(t *testing.T) {
	runWithTicketer(t, func(t *testing.T, s *fixture) {
		for _, other := range s.schedulers {
			other.down = true
		}
		s.submit(time.Second)
		assert.DeepEqual(t, s.local.received(), []string{"hello[]", "ticket r#4 age 0 left 1000"})
		time.Sleep(1500 * time.Millisecond)
		s.local.breakStream(false)
		assert.DeepEqual(t, s.handler.decisions(), []string{"refused deadline_expired"})
	})
}

// TestPoolOfNewCatalogue guards against refusing a request, accepted under a new catalogue, because the ticketer hasn't taken
// it over yet.
func TestPoolOfNewCatalogue(t *testing.T) {
	runWithTicketer(t, func(t *testing.T, s *fixture) {
		s.ticketer.mu.Lock()
		pools := []cataloguer.Pool{{Name: "chat", Upstreams: []cataloguer.Upstream{{Name: "e"}}}, {Name: "new"}}
		s.ticketer.options.Catalogue = fakeCatalogue{(&cataloguer.Catalogue{Pools: pools}).Index()}
		s.ticketer.mu.Unlock()
		s.ticketer.Submit(&protocol.Ticket{RequestId: "r", Pool: "new"}, s.handler)
		assert.DeepEqual(t, s.handler.decisions(), []string{})
	})
}

// TestUnknownPool guards against a ticket that waits although its pool isn't in the catalogue.
func TestUnknownPool(t *testing.T) {
	runWithTicketer(t, func(t *testing.T, s *fixture) {
		s.ticketer.Submit(&protocol.Ticket{RequestId: "r", Pool: "none"}, s.handler)
		assert.DeepEqual(t, s.handler.decisions(), []string{"refused no_upstream"})
	})
}
