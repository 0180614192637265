package scheduler

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"coltsfootplank/internal/protocol"
)

// TestVersionLimits guards against grants to a version beyond its limit, after the end of its lease, or to an engine of
// another part, and against an old version that isn't used meanwhile.
func TestVersionLimits(t *testing.T) {
	now := time.Unix(1000, 0)
	s := New("pool", DefaultSettings(), zap.NewNop(), now)
	s.SetEngines(now, []EngineInfo{
		{Name: "a", Slots: 100, Version: "v1"}, {Name: "b", Slots: 100, Version: "v2"}, {Name: "c", Slots: 100, Version: "v2"},
		{Name: "d", Slots: 100, Version: "v3"},
	})
	number := 0
	grants := func(count int) map[string]int {
		engines := make(map[string]int)
		for range count {
			number++
			s.Submit(now, "h", &protocol.Ticket{RequestId: fmt.Sprint(number), Pool: "pool", PromptTokens: 10, OutputTokens: 1})
			for _, decision := range s.Step(now) {
				engines[decision.Grant.GetEngine()]++
				s.Release(now, "h", &protocol.Release{
					RequestId: decision.Grant.GetRequestId(), Engine: decision.Grant.GetEngine(), Kind: protocol.ReleaseKind_RELEASE_KIND_ANSWERED,
				})
			}
		}
		return engines
	}
	limits := map[string]VersionLimit{"v1": {Unlimited: true}, "v2": {Total: 5, Until: now.Add(time.Second), Part: 1, Parts: 2}}
	s.SetVersionLimits(now, limits)
	assert.DeepEqual(t, grants(100), map[string]int{"a": 95, "c": 5})
	assert.Equal(t, s.VersionGrants("v2"), uint64(5))
	limits["v2"] = VersionLimit{Total: 8, Until: now.Add(time.Second), Parts: 2}
	s.SetVersionLimits(now, limits)
	assert.DeepEqual(t, grants(100), map[string]int{"a": 97, "b": 3})
	limits["v2"] = VersionLimit{Total: 100, Until: now.Add(time.Second)}
	s.SetVersionLimits(now, limits)
	now = now.Add(time.Second)
	assert.DeepEqual(t, grants(100), map[string]int{"a": 100})
	s.SetVersionLimits(now, map[string]VersionLimit{"v2": {Unlimited: true}})
	assert.Equal(t, grants(100)["a"], 0)
	assert.Assert(t, !s.engines.byName["d"].usable())
	s.SetVersionLimits(now, nil)
	for _, e := range s.engines.list {
		assert.Assert(t, e.usable(), e.info.Name)
	}
}
