package assembler

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"coltsfootplank/internal/messenger"
	"coltsfootplank/internal/protocol"
	"coltsfootplank/internal/ranker"
)

const (
	// controlInterval is the time between two updates of the announced revision, the claim window and the catalogue
	// snapshot.
	controlInterval = time.Second
	// claimAppendsPerSecond is the maximum rate of appends of all routers together to the claim stream.
	claimAppendsPerSecond = 200
	// catalogueRole is the role of the router that refreshes the catalogue snapshot in the log.
	catalogueRole = "catalogue"
)

// control regularly adapts this router to the current members and announces its catalogue revision to them.
func (c *catalogueMode) control(ctx context.Context) error {
	ticker := time.NewTicker(controlInterval)
	defer ticker.Stop()
	for {
		c.update(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

func (c *catalogueMode) update(ctx context.Context) {
	view := c.detector.View()
	catalogue := c.cataloguer.Current()
	c.detector.SetCatalogue(catalogue.Revision, catalogue.Offset)
	if c.settings.Claims.Window == 0 {
		members := max(len(view.Eligible()), 1)
		c.claimer.SetBatchWindow(time.Duration(members) * time.Second / claimAppendsPerSecond)
	}
	if ranker.First(catalogueRole, view.Eligible()) != c.settings.Name {
		return
	}
	if err := c.cataloguer.RefreshSnapshot(ctx); err != nil && ctx.Err() == nil {
		c.logger.Warn("catalogue snapshot not refreshed", zap.Error(err))
	}
}

// peerHandlers returns the handlers of other routers' calls.
func (c *catalogueMode) peerHandlers() messenger.Handlers {
	return messenger.Handlers{
		Accept: c.runner.Accept,
		Gossip: c.detector.Handle,
		Snapshot: func(_ context.Context, request *protocol.SnapshotRequest) (*protocol.SnapshotResponse, error) {
			data, revision, offset := c.cataloguer.Snapshot()
			if revision <= request.GetAboveRevision() {
				return &protocol.SnapshotResponse{Revision: revision, Offset: offset}, nil
			}
			return &protocol.SnapshotResponse{Revision: revision, Offset: offset, Catalogue: data}, nil
		},
		Claim: func(_ context.Context, request *protocol.ClaimRequest) (*protocol.ClaimResponse, error) {
			return &protocol.ClaimResponse{Verdicts: c.claimer.Register(request.GetClaims())}, nil
		},
	}
}

// fetchSnapshot asks the member with the highest catalogue revision for its snapshot.
func (c *catalogueMode) fetchSnapshot(ctx context.Context) (snapshot []byte, revision uint64, offset int64, err error) {
	current := c.cataloguer.Current().Revision
	best := current
	address := ""
	for _, member := range c.detector.View().Members {
		if member.Name != c.settings.Name && member.CatalogueRevision > best && reachable(member.State) {
			best, address = member.CatalogueRevision, member.Address
		}
	}
	if address == "" {
		return nil, 0, 0, nil
	}
	response, err := c.peers.Snapshot(ctx, address, &protocol.SnapshotRequest{AboveRevision: current})
	if err != nil {
		return nil, 0, 0, err
	}
	return response.GetCatalogue(), response.GetRevision(), response.GetOffset(), nil
}

func reachable(state protocol.MemberState) bool {
	return state != protocol.MemberState_MEMBER_STATE_DEAD
}

// isCancelled reports whether err is nil or only reports that the router's own context was cancelled.
func isCancelled(err error) bool {
	return err == nil || errors.Is(err, context.Canceled)
}
