package detector

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"coltsfootplank/internal/protocol"
)

// directTransport is a Transport that calls the detectors of a map, by address.
type directTransport map[string]*Detector

func (d directTransport) Gossip(ctx context.Context, address string,
	request *protocol.GossipRequest,
) (*protocol.GossipResponse, error) {
	if target, ok := d[address]; ok {
		return target.Handle(ctx, request)
	}
	return nil, &NoAnswerError{}
}

// TestFirstCatalogueRevisionSpreads guards against members that never learn of the first catalogue revision, because
// its record has offset 0, the same as no record.
func TestFirstCatalogueRevisionSpreads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := directTransport{}
		a := New(Settings{Name: "a", Address: "a:1"}, network)
		b := New(Settings{Name: "b", Address: "b:1", Seeds: []string{"a:1"}}, network)
		network["a:1"], network["b:1"] = a, b
		ctx, cancel := context.WithCancel(t.Context())
		var group errgroup.Group
		group.Go(func() error { return a.Run(ctx) })
		group.Go(func() error { return b.Run(ctx) })
		time.Sleep(5 * time.Second)
		a.SetCatalogue(1, 0)
		time.Sleep(5 * time.Second)
		member, known := b.View().Member("a")
		assert.Assert(t, known)
		assert.Equal(t, member.CatalogueRevision, uint64(1))
		cancel()
		assert.ErrorIs(t, group.Wait(), context.Canceled)
	})
}
