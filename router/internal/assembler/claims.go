package assembler

import (
	"context"
	"strconv"
	"time"

	"coltsfootplank/internal/claimer"
	"coltsfootplank/internal/protocol"
	"coltsfootplank/internal/ranker"
)

// claimRolePrefix is the prefix of the roles of the home routers of claims; the hash of the claim's scope follows.
const claimRolePrefix = "claims/"

// registerClaims registers claims in the memory of a router, which may be this one.
func (c *catalogueMode) registerClaims(ctx context.Context, router string, entries []*protocol.ClaimEntry) ([]*protocol.ClaimVerdict, error) {
	if router == c.settings.Name {
		return c.claimer.Register(entries), nil
	}
	member, known := c.detector.View().Member(router)
	if !known {
		return nil, &MemberUnknownError{Name: router}
	}
	response, err := c.peers.Claim(ctx, member.Address, &protocol.ClaimRequest{Router: c.settings.Name, Claims: entries})
	if err != nil {
		return nil, err
	}
	return response.GetVerdicts(), nil
}

// rankClaimHomes ranks the routers for a scope of claims; the first ones are its home routers. It includes all members
// known for the whole memory window, also dead ones, so that both sides of a partition choose the same home routers.
func (c *catalogueMode) rankClaimHomes(scopeHash uint64) []string {
	since := time.Now().Add(-claimer.MemoryWindow)
	var names []string
	for _, member := range c.detector.View().Members {
		if member.Known.Before(since) {
			names = append(names, member.Name)
		}
	}
	return ranker.Rank(claimRolePrefix+strconv.FormatUint(scopeHash, 16), names)
}
