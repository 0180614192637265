package claimer

import (
	"context"
	"math"
	"time"

	"go.uber.org/zap"

	"coltsfootplank/internal/protocol"
)

const (
	// askTimeout bounds one question to a home router.
	askTimeout = 500 * time.Millisecond
	// recoveryGrace is the time after an outage in which the routers append their claims in memory. Until it
	// has passed, a scope whose home routers both can't vouch for it is refused.
	recoveryGrace = 30 * time.Second
	homeCount     = 2
)

// RegisterFunc sends claims to a router's Register and returns its verdicts.
type RegisterFunc func(ctx context.Context, router string, entries []*protocol.ClaimEntry) ([]*protocol.ClaimVerdict, error)

// RankFunc returns routers in the order of their rank for a scope, over the members known for at least
// MemoryWindow, dead ones included.
type RankFunc func(scopeHash uint64) []string

// homeAnswers sums up what the home routers of a scope said. lost is decisive: another claim was there first.
type homeAnswers struct {
	won  int
	lost bool
}

// Register registers other routers' claims in this router's memory, and returns one verdict for each. A scope
// that is held on the log, as far as this router has read it, is lost.
func (c *Claimer) Register(claims []*protocol.ClaimEntry) []*protocol.ClaimVerdict {
	verdicts := c.memory.Register(claims)
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, claim := range claims {
		if claim.GetRequestId() == "" {
			continue
		}
		if id, held := c.fold.holderByShort(claim.GetScopeHash()); held && id != claim.GetClaimId() {
			verdicts[i].State = protocol.ClaimState_CLAIM_STATE_LOST
		} else if !c.follower.CaughtUp() && verdicts[i].State == protocol.ClaimState_CLAIM_STATE_WON {
			verdicts[i].State = protocol.ClaimState_CLAIM_STATE_UNCERTAIN
		}
	}
	return verdicts
}

// askHomes registers a claim at the home routers of its scope, one after the other, so that of two claims at
// the same time one wins at both. It stops once the claim is lost.
func (c *Claimer) askHomes(ctx context.Context, hash ScopeHash, claimID, requestID string) homeAnswers {
	var answers homeAnswers
	for _, router := range c.homes(hash) {
		switch c.askHome(ctx, router, hash, claimID, requestID) {
		case protocol.ClaimState_CLAIM_STATE_WON:
			answers.won++
		case protocol.ClaimState_CLAIM_STATE_LOST:
			answers.lost = true
			return answers
		}
	}
	return answers
}

func (c *Claimer) homes(hash ScopeHash) []string {
	if c.options.RegisterRemote == nil || c.options.RankRouters == nil {
		return nil
	}
	ranked := c.options.RankRouters(hash.Short())
	return ranked[:min(homeCount, len(ranked))]
}

func (c *Claimer) askHome(ctx context.Context, router string, hash ScopeHash, claimID, requestID string) protocol.ClaimState {
	entries := []*protocol.ClaimEntry{{ScopeHash: hash.Short(), ClaimId: claimID, RequestId: requestID}}
	if router == c.identity.Router {
		return c.Register(entries)[0].GetState()
	}
	askCtx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	verdicts, err := c.options.RegisterRemote(askCtx, router, entries)
	if err != nil || len(verdicts) != 1 || verdicts[0].GetClaimId() != claimID {
		c.logger.Debug("a home router did not answer for a claim", zap.String("router", router), zap.Error(err))
		return protocol.ClaimState_CLAIM_STATE_UNCERTAIN
	}
	return verdicts[0].GetState()
}

// release removes a claim that is given up from the home routers, so that a repeat may run. If a router can't
// be reached, the claim stays there until it expires.
func (c *Claimer) release(ctx context.Context, hash ScopeHash, claimID string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), askTimeout)
	defer cancel()
	for _, router := range c.homes(hash) {
		c.askHome(ctx, router, hash, claimID, "")
	}
}

// claimInMemory claims a scope at its home routers while the log is down. The claim is appended to the log as
// soon as it is back.
func (c *Claimer) claimInMemory(ctx context.Context, scope Scope, hash ScopeHash, claimID, requestID string) (Verdict, error) {
	if !c.follower.CaughtUp() {
		return Verdict{}, &UnavailableError{Reason: "the log is down and has never been read to its end"}
	}
	c.mu.Lock()
	full := len(c.inMemory) >= memoryLimit
	c.mu.Unlock()
	if full {
		return Verdict{}, &UnavailableError{Reason: "the log is down and too many claims wait for it"}
	}
	answers := c.askHomes(ctx, hash, claimID, requestID)
	if answers.won == homeCount && ctx.Err() == nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.inMemory[claimID] = struct{}{}
		c.counts.WonInMemory++
		c.enqueue(&queued{entry: entry{
			Kind:        entryClaim,
			ScopeHash:   hash,
			ClaimID:     claimID,
			RequestID:   requestID,
			Fingerprint: scope.Fingerprint,
			Memory:      true,
		}})
		return Verdict{State: Won, ClaimID: claimID}, nil
	}
	c.release(ctx, hash, claimID)
	if answers.lost {
		return Verdict{State: Duplicate}, nil
	}
	return Verdict{}, &UnavailableError{Reason: "the log is down and the home routers of the key can't vouch for it"}
}

// recentlyDown tells whether claims in memory that are not on the log yet may exist.
func (c *Claimer) recentlyDown() bool {
	return c.options.RegisterRemote != nil && c.options.RankRouters != nil && c.sinceDown() < MemoryWindow
}

func (c *Claimer) sinceDown() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastDown.IsZero() {
		return math.MaxInt64
	}
	return time.Since(c.lastDown)
}

// checkHomes registers a claim at the home routers before it goes to the log, for some time after an outage: a
// claim that was made in memory meanwhile may not be on the log yet. It returns false if the caller has to stop
// with the verdict or error.
func (c *Claimer) checkHomes(ctx context.Context, hash ScopeHash, claimID, requestID string) (Verdict, bool, error) {
	answers := c.askHomes(ctx, hash, claimID, requestID)
	if answers.lost {
		c.release(ctx, hash, claimID)
		return Verdict{State: Duplicate}, false, nil
	}
	// A claim in memory needed both home routers, so one of them is enough to rule it out.
	if answers.won == 0 && c.sinceDown() < recoveryGrace {
		c.release(ctx, hash, claimID)
		return Verdict{}, false, &UnavailableError{Reason: "the log was down and the home routers of the key can't vouch for it"}
	}
	return Verdict{}, true, nil
}
