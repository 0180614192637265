package experimenter

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootplank/internal/scheduler"
)

// play runs calls on one fast engine with the default scheduler.
func play(change func(*plan), calls ...*call) *world {
	p := plan{seed: 1, engines: []engineKind{fast}, calls: calls, settings: scheduler.DefaultSettings(), length: time.Minute}
	if change != nil {
		change(&p)
	}
	return run(p)
}

func testCall(id string, fingerprint uint64, prompt, output int) *call {
	k := &kind{name: "work", workspace: "w", prompt: prompt, output: output, limit: time.Minute}
	return &call{kind: k, id: id, fingerprint: fingerprint, output: output}
}

// TestBatchSharesSteps guards against a fake that runs requests one after the other, or each at full speed.
func TestBatchSharesSteps(t *testing.T) {
	one := play(nil, testCall("a", 1, 1, 100)).all[0].done
	two := play(nil, testCall("a", 1, 1, 100), testCall("b", 2, 1, 100))
	both := max(two.all[0].done, two.all[1].done)
	assert.Assert(t, one > 100*fast.step, "one alone took %v", one)
	assert.Assert(t, both > one && both < one*11/10, "one alone took %v, two took %v", one, both)
}

// TestPrefillByUncachedTokens guards against a fake that computes cached prompts again, or whose cache has no end.
func TestPrefillByUncachedTokens(t *testing.T) {
	var calls []*call
	for i, prefix := range []uint64{1, 1, 2, 3, 1} {
		c := testCall(string(rune('a'+i)), uint64(i+1), 6000, 1)
		c.hashes, c.arrived = []uint64{prefix, uint64(100 + i)}, time.Duration(10*i)*time.Second
		calls = append(calls, c)
	}
	// Room for three whole prompts minus one: the third new prefix evicts the first.
	small := func(p *plan) { p.engines[0].kvTokens = 2 * 13000 }
	var computed []int
	for _, c := range play(small, calls...).all {
		computed = append(computed, c.computed)
	}
	assert.DeepEqual(t, computed, []int{6000, 3000, 6000, 6000, 6000})
}

// TestCrashLosesBatch guards against a poison request that harms nobody, and a restart that goes unnoticed.
func TestCrashLosesBatch(t *testing.T) {
	poison, healthy := testCall("p", 1, 100, 10), testCall("h", 2, 100, 1000)
	poison.poison = true
	w := play(nil, poison, healthy)
	assert.Equal(t, w.all[0].refusal, "lost")
	assert.Equal(t, w.all[1].refusal, "lost")
	assert.Equal(t, w.engines[0].crashes, 1)
	assert.Equal(t, w.engines[0].report(0).Instance, "1")
}
