package ticketer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootplank/internal/protocol"
)

// adopted returns the requests and engines of the adoptions received since the last call.
func (s *fakeScheduler) adopted() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []string
	for _, m := range s.messages {
		for _, a := range m.GetAdoptions() {
			list = append(list, a.GetTicket().GetRequestId()+" on "+a.GetEngine())
		}
	}
	s.messages = nil
	return list
}

// TestAdoption guards against a new scheduler that doesn't know about running requests, and against their slots staying
// occupied at that scheduler after they end.
func TestAdoption(t *testing.T) {
	runWithTicketer(t, func(t *testing.T, s *fixture) {
		first, second := s.schedulers[s.ranked[0]], s.schedulers[s.ranked[1]]
		s.submit(0)
		first.received()
		first.grant(1)
		first.breakStream(true)
		time.Sleep(50 * time.Millisecond)
		s.ticketer.Submit(&protocol.Ticket{RequestId: "q", Pool: "chat"}, s.handler)
		time.Sleep(maintainInterval)
		assert.DeepEqual(t, second.adopted(), []string{"r on e"})
		time.Sleep(time.Second)
		assert.Equal(t, len(second.adopted()), 0, "each adoption is sent once")
		s.ticketer.Release(&protocol.Release{RequestId: "r", Kind: protocol.ReleaseKind_RELEASE_KIND_ANSWERED})
		assert.DeepEqual(t, second.received(), []string{"release r#1 RELEASE_KIND_ANSWERED"})
	})
}
