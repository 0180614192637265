package experimenter

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootplank/internal/scheduler"
)

// runCalls runs the calls on one fast engine with the default scheduler settings. change may adapt the configuration.
func runCalls(change func(*runConfig), calls ...*call) *simulation {
	config := runConfig{seed: 1, engineKinds: []engineKind{fast}, calls: calls, settings: scheduler.DefaultSettings(), duration: time.Minute}
	if change != nil {
		change(&config)
	}
	return run(config)
}

func testCall(id string, fingerprint uint64, prompt, output int) *call {
	k := &workKind{name: "work", workspace: "w", promptTokens: prompt, outputTokens: output, limit: time.Minute}
	return &call{kind: k, id: id, fingerprint: fingerprint, outputTokens: output}
}

// TestBatchSharesSteps guards against a fake engine that runs requests one after the other, or that runs several at once
// without slowing down.
func TestBatchSharesSteps(t *testing.T) {
	one := runCalls(nil, testCall("a", 1, 1, 100)).allCalls[0].doneAt
	two := runCalls(nil, testCall("a", 1, 1, 100), testCall("b", 2, 1, 100))
	both := max(two.allCalls[0].doneAt, two.allCalls[1].doneAt)
	assert.Assert(t, one > 100*fast.stepTime, "one alone took %v", one)
	assert.Assert(t, both > one && both < one*11/10, "one alone took %v, two took %v", one, both)
}

// TestPrefillByUncachedTokens guards against a fake engine that computes cached prompts again, or that never evicts.
func TestPrefillByUncachedTokens(t *testing.T) {
	var calls []*call
	for i, prefix := range []uint64{1, 1, 2, 3, 1} {
		c := testCall(string(rune('a'+i)), uint64(i+1), 6000, 1)
		c.hashes, c.arrivedAt = []uint64{prefix, uint64(100 + i)}, time.Duration(10*i)*time.Second
		calls = append(calls, c)
	}
	// The cache holds 13000 tokens, so that storing prefix 3 evicts prefix 1.
	smallCache := func(config *runConfig) { config.engineKinds[0].kvTokens = 2 * 13000 }
	var computed []int
	for _, c := range runCalls(smallCache, calls...).allCalls {
		computed = append(computed, c.computedTokens)
	}
	assert.DeepEqual(t, computed, []int{6000, 3000, 6000, 6000, 6000})
}

// TestCrashLosesBatch guards against a crash that doesn't lose the other requests of the batch, and against a restart
// that doesn't change the reported instance.
func TestCrashLosesBatch(t *testing.T) {
	poison, healthy := testCall("p", 1, 100, 10), testCall("h", 2, 100, 1000)
	poison.poison = true
	sim := runCalls(nil, poison, healthy)
	assert.Equal(t, sim.allCalls[0].refusal, "lost")
	assert.Equal(t, sim.allCalls[1].refusal, "lost")
	assert.Equal(t, sim.engines[0].crashes, 1)
	assert.Equal(t, sim.engines[0].loadReport(0).Instance, "1")
}
