package runner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"coltsfootplank/internal/messenger"
	"coltsfootplank/internal/protocol"
)

// TestSubmitAfterStop guards against a session of a stopped router that retries for ever to post a ticket to an ended
// cell.
func TestSubmitAfterStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, 1, newFakeCatalogue(2, "chat"))
		n := tc.ranking()[0]
		outbox := messenger.NewSchedulerOutbox()
		session := n.runner.Accept(&protocol.Hello{Router: n.name, Incarnation: 1}, outbox)
		session.Receive(&protocol.HolderMessage{Tickets: []*protocol.Ticket{{RequestId: "first", Pool: "chat"}}})
		time.Sleep(time.Second)
		n.cancel()
		time.Sleep(time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		var group errgroup.Group
		group.Go(func() error {
			session.Receive(&protocol.HolderMessage{Tickets: []*protocol.Ticket{{RequestId: "late", Pool: "chat"}}})
			cancel()
			return nil
		})
		<-ctx.Done()
		assert.ErrorIs(t, context.Cause(ctx), context.Canceled)
		assert.NilError(t, group.Wait())
	})
}
