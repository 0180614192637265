package claimer

import (
	"context"
	"math"
	"time"

	"go.uber.org/zap"

	"coltsfootplank/internal/protocol"
)

const (
	// registerTimeout limits one call to a home router.
	registerTimeout = 500 * time.Millisecond
	// recoveryGrace is the time that routers get after an outage of the log to append their claims in memory. Until
	// it has passed, a claim is rejected if no home router of its scope can confirm it.
	recoveryGrace = 30 * time.Second
	// homeCount is the number of home routers of a scope, which register the claims of the scope in memory.
	homeCount = 2
)

// RegisterFunc registers claims at another router, by its Register method, and returns one verdict for each.
type RegisterFunc func(ctx context.Context, router string, entries []*protocol.ClaimEntry) ([]*protocol.ClaimVerdict, error)

// RankFunc returns the members that have been known for at least MemoryWindow, dead ones included, in the order of
// their rank for a scope. The first ones are the home routers of the scope.
type RankFunc func(scopeHash uint64) []string

// homeVerdicts summarises the verdicts of the home routers of a scope: how many reported the claim as won, and whether
// one reported it as lost. A single lost verdict decides, because another claim was registered first.
type homeVerdicts struct {
	won  int
	lost bool
}

// Register registers claims in this router's memory and returns one verdict for each. A claim is lost if another claim
// holds its scope on the log as far as this router has read it.
func (c *Claimer) Register(claims []*protocol.ClaimEntry) []*protocol.ClaimVerdict {
	verdicts := c.memory.Register(claims)
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, claim := range claims {
		if claim.GetRequestId() == "" {
			continue
		}
		if id, held := c.fold.holdingClaimByShort(claim.GetScopeHash()); held && id != claim.GetClaimId() {
			verdicts[i].State = protocol.ClaimState_CLAIM_STATE_LOST
		} else if !c.follower.CaughtUp() && verdicts[i].State == protocol.ClaimState_CLAIM_STATE_WON {
			verdicts[i].State = protocol.ClaimState_CLAIM_STATE_UNCERTAIN
		}
	}
	return verdicts
}

// registerAtHomes registers a claim at the home routers of its scope, one after the other in the order of their rank,
// so that one of two concurrent claims wins at both. It stops once the claim is lost.
func (c *Claimer) registerAtHomes(ctx context.Context, hash ScopeHash, claimID, requestID string) homeVerdicts {
	var verdicts homeVerdicts
	for _, router := range c.homeRouters(hash) {
		switch c.registerAtHome(ctx, router, hash, claimID, requestID) {
		case protocol.ClaimState_CLAIM_STATE_WON:
			verdicts.won++
		case protocol.ClaimState_CLAIM_STATE_LOST:
			verdicts.lost = true
			return verdicts
		}
	}
	return verdicts
}

func (c *Claimer) homeRouters(hash ScopeHash) []string {
	if c.options.RegisterRemote == nil || c.options.RankRouters == nil {
		return nil
	}
	ranked := c.options.RankRouters(hash.Short())
	return ranked[:min(homeCount, len(ranked))]
}

func (c *Claimer) registerAtHome(ctx context.Context, router string, hash ScopeHash, claimID, requestID string) protocol.ClaimState {
	entries := []*protocol.ClaimEntry{{ScopeHash: hash.Short(), ClaimId: claimID, RequestId: requestID}}
	if router == c.identity.Router {
		return c.Register(entries)[0].GetState()
	}
	registerCtx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	verdicts, err := c.options.RegisterRemote(registerCtx, router, entries)
	if err != nil || len(verdicts) != 1 || verdicts[0].GetClaimId() != claimID {
		c.logger.Debug("could not register a claim at a home router", zap.String("router", router), zap.Error(err))
		return protocol.ClaimState_CLAIM_STATE_UNCERTAIN
	}
	return verdicts[0].GetState()
}

// release removes an abandoned claim from the home routers, so that a repeated request may run. If a router can't be
// reached, the claim stays registered there until it expires.
func (c *Claimer) release(ctx context.Context, hash ScopeHash, claimID string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), registerTimeout)
	defer cancel()
	for _, router := range c.homeRouters(hash) {
		c.registerAtHome(ctx, router, hash, claimID, "")
	}
}

// claimInMemory claims a scope at its home routers while the log is unavailable. A claim that wins is queued and is
// appended once the log is available again.
func (c *Claimer) claimInMemory(ctx context.Context, scope Scope, hash ScopeHash, claimID, requestID string) (Verdict, error) {
	if !c.follower.CaughtUp() {
		return Verdict{}, &UnavailableError{Reason: "the log is down and has never been read to its end"}
	}
	c.mu.Lock()
	full := len(c.inMemory) >= maxMemoryClaims
	c.mu.Unlock()
	if full {
		return Verdict{}, &UnavailableError{Reason: "the log is down and too many claims wait for it"}
	}
	verdicts := c.registerAtHomes(ctx, hash, claimID, requestID)
	if verdicts.won == homeCount && ctx.Err() == nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.inMemory[claimID] = struct{}{}
		c.counts.WonInMemory++
		c.enqueue(&queuedEntry{entry: entry{
			Kind:        entryClaim,
			ScopeHash:   hash,
			ClaimID:     claimID,
			RequestID:   requestID,
			Fingerprint: scope.Fingerprint,
			InMemory:    true,
		}})
		return Verdict{State: Won, ClaimID: claimID}, nil
	}
	c.release(ctx, hash, claimID)
	if verdicts.lost {
		return Verdict{State: Duplicate}, nil
	}
	return Verdict{}, &UnavailableError{Reason: "the log is down and the home routers of the key can't vouch for it"}
}

// recentlyDown reports whether the log was unavailable so recently that there may be claims in memory that are not on
// the log yet.
func (c *Claimer) recentlyDown() bool {
	return c.options.RegisterRemote != nil && c.options.RankRouters != nil && c.timeSinceOutage() < MemoryWindow
}

func (c *Claimer) timeSinceOutage() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastDown.IsZero() {
		return math.MaxInt64
	}
	return time.Since(c.lastDown)
}

// checkHomes registers a claim at the home routers before it is appended to the log. It is called for some time after
// an outage, because a claim that won in memory during the outage may not be on the log yet. It returns false if the
// caller must return the verdict or error.
func (c *Claimer) checkHomes(ctx context.Context, hash ScopeHash, claimID, requestID string) (Verdict, bool, error) {
	verdicts := c.registerAtHomes(ctx, hash, claimID, requestID)
	if verdicts.lost {
		c.release(ctx, hash, claimID)
		return Verdict{State: Duplicate}, false, nil
	}
	// A claim in memory wins only if both home routers confirm it, so the confirmation of one rules out another claim.
	if verdicts.won == 0 && c.timeSinceOutage() < recoveryGrace {
		c.release(ctx, hash, claimID)
		return Verdict{}, false, &UnavailableError{Reason: "the log was down and the home routers of the key can't vouch for it"}
	}
	return Verdict{}, true, nil
}
