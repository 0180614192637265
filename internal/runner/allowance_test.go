package runner

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"coltsfootplank/internal/cataloguer"
	"coltsfootplank/internal/protocol"
	"coltsfootplank/internal/scheduler"
)

// The limits of a workspace and the tolerance of the platform's contract: 10 % and quotaSlack tokens.
const (
	quotaRate, quotaBurst = 104_680, 376_850
	quotaWindow           = 8 * time.Second
	quotaOvershoot        = 1.1
	quotaSlack            = 140_000
	quotaCharge           = 4000
)

// realScheduler adapts a scheduler to the types of the runner.
type realScheduler struct{ *scheduler.Scheduler }

func (s realScheduler) SetEngines(now time.Time, engines []EngineInfo) {
	var infos []scheduler.EngineInfo
	for _, e := range engines {
		infos = append(infos, scheduler.EngineInfo(e))
	}
	s.Scheduler.SetEngines(now, infos)
}

func (s realScheduler) Step(now time.Time) []Decision {
	var decisions []Decision
	for _, d := range s.Scheduler.Step(now) {
		decisions = append(decisions, Decision(d))
	}
	return decisions
}

func (s realScheduler) Dump() any { return s.Scheduler.Dump() }

func newRealScheduler(pool cataloguer.Pool, now time.Time) Scheduler {
	settings := scheduler.DefaultSettings()
	settings.AllowanceWindow, settings.MaxQueue = quotaWindow, 0
	settings.Retries.Ratio, settings.Retries.Burst = 1, 1e9
	return realScheduler{scheduler.New(pool.Name, settings, zap.NewNop(), now)}
}

// usage records the grants of a workspace in steps of usageStep.
type usage struct {
	mu      sync.Mutex
	start   time.Time
	granted []float64
}

const usageStep = 100 * time.Millisecond

// meteredRequest is a ticketer.DecisionHandler that records its grant and soon ends it.
type meteredRequest struct {
	id    string
	node  *node
	usage *usage
}

func (m *meteredRequest) Granted(*protocol.Grant) {
	m.usage.mu.Lock()
	defer m.usage.mu.Unlock()
	m.usage.granted[int(time.Since(m.usage.start)/usageStep)] += quotaCharge
	time.AfterFunc(20*time.Millisecond, func() {
		m.node.ticketer.Release(&protocol.Release{RequestId: m.id, Kind: protocol.ReleaseKind_RELEASE_KIND_ANSWERED})
	})
}

func (m *meteredRequest) Refused(*protocol.Refusal) {}

// most returns the most tokens that were granted in a window.
func (u *usage) most() (most float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	window := int(quotaWindow / usageStep)
	for i := range len(u.granted) - window {
		sum := 0.0
		for _, tokens := range u.granted[i : i+window] {
			sum += tokens
		}
		most = max(most, sum)
	}
	return most
}

// total returns all tokens that were granted.
func (u *usage) total() (total float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, tokens := range u.granted {
		total += tokens
	}
	return total
}

// interruption cuts routers off from all others for a while.
type interruption struct {
	at, length time.Duration
	// ranks are the ranks of the routers as schedulers of the pool.
	ranks []int
}

// TestAllowancesOfRoutersCutOff guards against schedulers that together grant a workspace much more than its allowance while
// routers are cut off from each other, and against a workspace that gets much less than it.
func TestAllowancesOfRoutersCutOff(t *testing.T) {
	const routers, length = 9, 36 * time.Second
	cases := []struct {
		name          string
		interruptions []interruption
		// sparse leaves only two routers with requests.
		sparse bool
	}{
		{"none", nil, false},
		{"none, few routers with requests", nil, true},
		{"one that never schedules", []interruption{{10 * time.Second, 6 * time.Second, []int{7}}}, false},
		{"three that never schedule", []interruption{{10 * time.Second, 6 * time.Second, []int{5, 6, 8}}}, false},
		{"first", []interruption{{10 * time.Second, 6 * time.Second, []int{0}}}, false},
		{"first, few routers with requests", []interruption{{10 * time.Second, 6 * time.Second, []int{0}}}, true},
		{"first and second", []interruption{{10 * time.Second, 12 * time.Second, []int{0, 1}}}, false},
		{"all candidates", []interruption{{10 * time.Second, 6 * time.Second, []int{0, 1, 2}}}, false},
		{"second and third", []interruption{{10 * time.Second, 20 * time.Second, []int{1, 2}}}, false},
		{"nearly half", []interruption{{10 * time.Second, 9 * time.Second, []int{1, 3, 5, 7}}}, false},
		{"briefly", []interruption{{10 * time.Second, 700 * time.Millisecond, []int{0, 4, 5}}}, false},
		{"twice", []interruption{{10 * time.Second, 3 * time.Second, []int{0, 4, 5}}, {16 * time.Second, 3 * time.Second, []int{1, 4, 6}}}, false},
		{"all", []interruption{{10 * time.Second, 9 * time.Second, []int{0, 1, 2, 3, 4, 5, 6, 7, 8}}}, false},
	}
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				catalogue := newFakeCatalogue(10_000, "chat")
				catalogue.current.Workspaces = []cataloguer.Workspace{
					{Name: "w", Weight: 1, Allowance: cataloguer.Allowance{Rate: quotaRate, Burst: quotaBurst}},
				}
				tc := newLimitedCluster(t, routers, catalogue)
				ranked := tc.ranking()
				senders := ranked
				if k.sparse {
					senders = []*node{ranked[0], ranked[8]}
				}
				u := &usage{start: time.Now(), granted: make([]float64, length/usageStep+1)}
				for elapsed, n := time.Duration(0), 0; elapsed < length; elapsed += 20 * time.Millisecond {
					for _, i := range k.interruptions {
						if elapsed == i.at || elapsed == i.at+i.length {
							tc.isolate(ranked, i.ranks, elapsed == i.at)
						}
					}
					// The workspace asks for six times its rate.
					for range 3 {
						node := senders[n%len(senders)]
						n++
						m := &meteredRequest{id: fmt.Sprint("r", n), node: node, usage: u}
						node.ticketer.Submit(&protocol.Ticket{RequestId: m.id, Pool: "chat", Workspace: "w", Charge: quotaCharge,
							PromptTokens: 10, OutputTokens: 10, DeadlineMs: 2000}, m)
					}
					time.Sleep(20 * time.Millisecond)
				}
				allowed := (quotaRate*quotaWindow.Seconds()+quotaBurst)*quotaOvershoot + quotaSlack
				most := u.most()
				assert.Assert(t, most <= allowed, "%.0f tokens in %s, %.0f allowed", most, quotaWindow, allowed)
				total := u.total()
				least := quotaRate * length.Seconds() * 0.8
				assert.Assert(t, total >= least, "%.0f tokens in all, at least %.0f", total, least)
				tc.isolate(ranked, []int{0, 1, 2, 3, 4, 5, 6, 7, 8}, false)
				time.Sleep(time.Second)
			})
		})
	}
}

func newLimitedCluster(t *testing.T, count int, catalogue *fakeCatalogue) *testCluster {
	return newClusterOf(t, count, catalogue, func(*node) Factory { return newRealScheduler })
}

// isolate cuts the routers with the given ranks off from all others, also from each other, or reconnects them.
func (tc *testCluster) isolate(ranked []*node, ranks []int, isolated bool) {
	for rank, n := range ranked {
		if slices.Contains(ranks, rank) {
			tc.setIsolated(n.name, isolated)
		}
	}
}
