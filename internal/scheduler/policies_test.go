package scheduler

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootplank/internal/kernel"
)

// TestPolicies guards against a baseline policy that behaves like the default one, and against a policy that exceeds
// the engines' slots.
func TestPolicies(t *testing.T) {
	cases := []struct {
		order, choice string
		tierFirst     bool
	}{
		{OrderTierFair, ChoiceExpectedFirstToken, true},
		{OrderFIFO, ChoiceExpectedFirstToken, false},
		{OrderTierFair, ChoiceRandom, true},
		{OrderTierFair, ChoiceLeastLoaded, true},
	}
	for _, k := range cases {
		c := newTestCell(0, 0, func(s *Settings) { s.OrderPolicy, s.EngineChoice = k.order, k.choice })
		c.SetEngines(c.now, []EngineInfo{{Name: "fast", Slots: 20, PrefillPerSec: 90_000, TokensPerSec: 900},
			{Name: "slow", Slots: 2, PrefillPerSec: 90, TokensPerSec: 9}})
		c.submit(30, 3, "a")
		c.step()
		urgent := c.submit(1, 0, "a")
		assert.Equal(t, c.engines.granted, 22)
		c.Cancel(c.now, "h", "r1")
		grants, _ := c.step()
		assert.Equal(t, len(grants), 1)
		assert.Equal(t, grants[0].RequestId == urgent.RequestId, k.tierFirst, "%+v", k)

		c = newTestCell(0, 0, func(s *Settings) { s.OrderPolicy, s.EngineChoice = k.order, k.choice })
		c.SetEngines(c.now, []EngineInfo{{Name: "fast", Slots: 9, PrefillPerSec: 90_000, TokensPerSec: 900},
			{Name: "slow", Slots: 9, PrefillPerSec: 90, TokensPerSec: 9}})
		c.submit(8, 0, "a")
		grants, _ = c.step()
		fast := 0
		for _, g := range grants {
			if g.Engine == "fast" {
				fast++
			}
		}
		switch k.choice {
		case ChoiceExpectedFirstToken:
			assert.Equal(t, fast, 8)
		case ChoiceLeastLoaded:
			assert.Equal(t, fast, 4)
		case ChoiceRandom:
			assert.Assert(t, fast > 0 && fast < 8)
		}
	}
	settings := DefaultSettings()
	assert.NilError(t, settings.Check())
	settings.EngineChoice = "none"
	var unknown *kernel.UnknownPluginError
	assert.Assert(t, errors.As(settings.Check(), &unknown))
}
