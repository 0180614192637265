package assembler

import (
	"context"
	"strconv"
	"time"

	"coltsfootplank/internal/claimer"
	"coltsfootplank/internal/protocol"
	"coltsfootplank/internal/ranker"
)

// claimRolePrefix starts the role of the home router of a claim.
const claimRolePrefix = "claims/"

// askClaims registers claims in memory at a router, which may be this one.
func (c *catalogued) askClaims(ctx context.Context, router string, entries []*protocol.ClaimEntry) ([]*protocol.ClaimVerdict, error) {
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

// claimRanks ranks the members known for the whole memory window for a scope, dead ones included, so that both sides
// of a partition name the same home routers.
func (c *catalogued) claimRanks(scopeHash uint64) []string {
	since := time.Now().Add(-claimer.MemoryWindow)
	var names []string
	for _, member := range c.detector.View().Members {
		if member.Known.Before(since) {
			names = append(names, member.Name)
		}
	}
	return ranker.Rank(claimRolePrefix+strconv.FormatUint(scopeHash, 16), names)
}
