package claimer

import (
	"sync"
	"time"

	"coltsfootplank/internal/protocol"
)

const (
	// MemoryWindow is how long a claim is kept in memory. Since a restart loses the registered claims, a router reports
	// claims as won only after it has been registering claims for this long.
	MemoryWindow = 10 * time.Minute
	// maxMemoryClaims limits the claims that one router keeps in memory. A claim takes about 200 bytes.
	maxMemoryClaims = 1 << 16
)

type memoryClaim struct {
	claimID      string
	registeredAt time.Time
}

// MemoryClaims is the table of claims that routers register here while the log is unavailable. An entry without a
// request id releases the claim with the same claim id. It is safe for concurrent use.
type MemoryClaims struct {
	now           func() time.Time
	coverageStart time.Time

	mu        sync.Mutex
	claims    map[uint64]memoryClaim
	lastSweep time.Time
}

// NewMemoryClaims returns an empty table whose coverage starts at the current time. now is the clock; nil means
// time.Now.
func NewMemoryClaims(now func() time.Time) *MemoryClaims {
	if now == nil {
		now = time.Now
	}
	return &MemoryClaims{now: now, coverageStart: now(), lastSweep: now(), claims: make(map[uint64]memoryClaim)}
}

// CoverageStart returns the time since which no registered claim has been lost in a restart.
func (m *MemoryClaims) CoverageStart() time.Time { return m.coverageStart }

// Register registers claims and returns one verdict for each, in the same order. Registering a claim again does not
// make it lose to itself.
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
	holdingClaim, held := m.claims[claim.GetScopeHash()]
	held = held && now.Sub(holdingClaim.registeredAt) < MemoryWindow
	own := held && holdingClaim.claimID == claim.GetClaimId()
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
		if len(m.claims) >= maxMemoryClaims {
			return protocol.ClaimState_CLAIM_STATE_UNCERTAIN
		}
		m.claims[claim.GetScopeHash()] = memoryClaim{claimID: claim.GetClaimId(), registeredAt: now}
	}
	if now.Sub(m.coverageStart) < MemoryWindow {
		// The claim stays registered because it may still be appended to the log and must then win against later ones.
		return protocol.ClaimState_CLAIM_STATE_UNCERTAIN
	}
	return protocol.ClaimState_CLAIM_STATE_WON
}

func (m *MemoryClaims) sweep(now time.Time) {
	if now.Sub(m.lastSweep) < time.Minute {
		return
	}
	m.lastSweep = now
	for hash, claim := range m.claims {
		if now.Sub(claim.registeredAt) >= MemoryWindow {
			delete(m.claims, hash)
		}
	}
}
