package claimer

import (
	"sync"
	"time"

	"coltsfootplank/internal/protocol"
)

const (
	// MemoryWindow is the time for which a claim in memory is kept. A router vouches for a scope only after it
	// has registered claims for that long, since a restart loses the claims of the run before.
	MemoryWindow = 10 * time.Minute
	// memoryLimit bounds the claims that one router keeps in memory, at about 200 bytes each.
	memoryLimit = 1 << 16
)

type memoryClaim struct {
	claimID string
	made    time.Time
}

// MemoryClaims holds the claims that other routers register here while the log is down. A claim without a request id
// releases the claim with its id. Its methods may be called concurrently.
type MemoryClaims struct {
	now           func() time.Time
	coverageStart time.Time

	mu     sync.Mutex
	claims map[uint64]memoryClaim
	swept  time.Time
}

// NewMemoryClaims returns an empty memory whose coverage starts now. now is a clock; nil means time.Now.
func NewMemoryClaims(now func() time.Time) *MemoryClaims {
	if now == nil {
		now = time.Now
	}
	return &MemoryClaims{now: now, coverageStart: now(), swept: now(), claims: make(map[uint64]memoryClaim)}
}

// CoverageStart returns the time from which on no claim was lost by a restart.
func (m *MemoryClaims) CoverageStart() time.Time { return m.coverageStart }

// Register registers claims and returns one verdict for each, in their order. A claim that was registered
// before gets the verdict of the first time.
func (m *MemoryClaims) Register(claims []*protocol.ClaimEntry) []*protocol.ClaimVerdict {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	m.sweep(now)
	verdicts := make([]*protocol.ClaimVerdict, len(claims))
	for i, claim := range claims {
		verdicts[i] = &protocol.ClaimVerdict{ClaimId: claim.GetClaimId(), State: m.register(claim, now)}
	}
	return verdicts
}

func (m *MemoryClaims) register(claim *protocol.ClaimEntry, now time.Time) protocol.ClaimState {
	holder, held := m.claims[claim.GetScopeHash()]
	held = held && now.Sub(holder.made) < MemoryWindow
	own := held && holder.claimID == claim.GetClaimId()
	if claim.GetRequestId() == "" {
		if own {
			delete(m.claims, claim.GetScopeHash())
		}
		return protocol.ClaimState_CLAIM_STATE_UNSPECIFIED
	}
	if held && !own {
		return protocol.ClaimState_CLAIM_STATE_LOST
	}
	if !own {
		if len(m.claims) >= memoryLimit {
			return protocol.ClaimState_CLAIM_STATE_UNCERTAIN
		}
		m.claims[claim.GetScopeHash()] = memoryClaim{claimID: claim.GetClaimId(), made: now}
	}
	if now.Sub(m.coverageStart) < MemoryWindow {
		// Registered all the same: the claim may be going to the log, and must then win against later ones.
		return protocol.ClaimState_CLAIM_STATE_UNCERTAIN
	}
	return protocol.ClaimState_CLAIM_STATE_WON
}

func (m *MemoryClaims) sweep(now time.Time) {
	if now.Sub(m.swept) < time.Minute {
		return
	}
	m.swept = now
	for hash, claim := range m.claims {
		if now.Sub(claim.made) >= MemoryWindow {
			delete(m.claims, hash)
		}
	}
}
