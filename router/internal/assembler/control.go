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
	// controlInterval is the time between two looks at the catalogue revision, the claim window and republishing.
	controlInterval = time.Second
	// claimAppendsPerSecond bounds the appends of all routers to the claim stream.
	claimAppendsPerSecond = 200
	// catalogueRole is the role of the router that republishes the catalogue.
	catalogueRole = "catalogue"
)

// control adapts this router to the members and tells them its catalogue revision.
func (r *Router) control(ctx context.Context) error {
	ticker := time.NewTicker(controlInterval)
	defer ticker.Stop()
	for {
		r.adapt(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

func (r *Router) adapt(ctx context.Context) {
	view := r.detector.View()
	catalogue := r.cataloguer.Current()
	r.detector.SetCatalogue(catalogue.Revision, catalogue.Offset)
	if r.settings.Claims.Window == 0 {
		members := max(len(view.Ranked()), 1)
		r.claimer.SetWindow(time.Duration(members) * time.Second / claimAppendsPerSecond)
	}
	if ranker.First(catalogueRole, view.Ranked()) != r.settings.Name {
		return
	}
	if err := r.cataloguer.Republish(ctx); err != nil && ctx.Err() == nil {
		r.logger.Warn("catalogue not republished", zap.Error(err))
	}
}

// peerHandlers answers other routers.
func (r *Router) peerHandlers() messenger.Handlers {
	return messenger.Handlers{
		Accept: r.runner.Accept,
		Gossip: r.detector.Handle,
		Snapshot: func(_ context.Context, request *protocol.SnapshotRequest) (*protocol.SnapshotResponse, error) {
			data, revision, offset := r.cataloguer.Snapshot()
			if revision <= request.GetAboveRevision() {
				return &protocol.SnapshotResponse{Revision: revision, Offset: offset}, nil
			}
			return &protocol.SnapshotResponse{Revision: revision, Offset: offset, Catalogue: data}, nil
		},
		Claim: func(_ context.Context, request *protocol.ClaimRequest) (*protocol.ClaimResponse, error) {
			return &protocol.ClaimResponse{Verdicts: r.claimer.Register(request.GetClaims())}, nil
		},
	}
}

// fetchSnapshot asks the member with the highest catalogue revision for its snapshot.
func (r *Router) fetchSnapshot(ctx context.Context) (snapshot []byte, revision uint64, offset int64, err error) {
	current := r.cataloguer.Current().Revision
	best := current
	address := ""
	for _, member := range r.detector.View().Members {
		if member.Name != r.settings.Name && member.CatalogueRevision > best && reachable(member.State) {
			best, address = member.CatalogueRevision, member.Address
		}
	}
	if address == "" {
		return nil, 0, 0, nil
	}
	response, err := r.peers.Snapshot(ctx, address, &protocol.SnapshotRequest{AboveRevision: current})
	if err != nil {
		return nil, 0, 0, err
	}
	return response.GetCatalogue(), response.GetRevision(), response.GetOffset(), nil
}

func reachable(state protocol.MemberState) bool {
	return state != protocol.MemberState_MEMBER_STATE_DEAD
}

// isCancelled says whether an error only reports the end of the router's own context.
func isCancelled(err error) bool {
	return err == nil || errors.Is(err, context.Canceled)
}
