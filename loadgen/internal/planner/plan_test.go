package planner

import (
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func testSettings(seed uint64) *Settings {
	settings := Defaults()
	settings.Seed = seed
	settings.Routers = []string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"}
	settings.Phases = []Phase{{Duration: 20 * time.Second, Rate: 100}, {Duration: 10 * time.Second, Rate: 400}}
	settings.Workspaces = []Workspace{
		{Name: "forge", Key: "a", Weight: 3, Prefixes: 2, PrefixTokens: 50}, {Name: "lids", Key: "b", Weight: 1}}
	settings.Works = []Work{
		{Name: "brief", Kind: KindStream, Model: "m", Weight: 1, PromptTokens: 200, OutputTokens: 400, Spread: 0.6},
		{Name: "never", Kind: KindStream, Model: "m", Weight: 0, PromptTokens: 1, OutputTokens: 1},
		{Name: "booking", Kind: KindUnary, Method: "POST", Path: "/b", Weight: 1}}
	return &settings
}

func allRequests(settings *Settings) []Request {
	var requests []Request
	plan := New(settings)
	for request, more := plan.Next(); more; request, more = plan.Next() {
		requests = append(requests, request)
	}
	return requests
}

// TestPlanRepeats guards against a plan that differs between runs with the same seed, or is the same for different seeds.
func TestPlanRepeats(t *testing.T) {
	first, again, other := allRequests(testSettings(1)), allRequests(testSettings(1)), allRequests(testSettings(2))
	assert.DeepEqual(t, first, again)
	assert.Assert(t, first[0].At != other[0].At)
}

// TestPlanStatistics guards against wrong rates, shares or lengths. The bounds are five standard deviations.
func TestPlanStatistics(t *testing.T) {
	requests := allRequests(testSettings(7))
	phaseOne, briefs, forge, prompt, output := 0.0, 0.0, 0.0, 0.0, 0.0
	firstRouters := map[int]float64{}
	last := time.Duration(0)
	for _, request := range requests {
		assert.Assert(t, request.At >= last && request.At < 30*time.Second)
		last = request.At
		assert.Assert(t, request.Work.Name != "never")
		firstRouters[request.Routers[0]]++
		if request.At < 20*time.Second {
			phaseOne++
		}
		if request.Workspace.Name == "forge" {
			forge++
		}
		if request.Work.Kind == KindStream {
			briefs++
			prompt += float64(tokenCount(request.Prefix) + tokenCount(request.Prompt))
			output += float64(request.OutputTokens)
		}
	}
	total := float64(len(requests))
	near := func(name string, got, want, deviation float64) {
		assert.Assert(t, math.Abs(got-want) < 5*deviation, "%s: got %v, want about %v", name, got, want)
	}
	near("arrivals of phase 1", phaseOne, 2000, math.Sqrt(2000))
	near("arrivals of phase 2", total-phaseOne, 4000, math.Sqrt(4000))
	near("share of briefs", briefs/total, 0.5, 0.5/math.Sqrt(total))
	near("share of forge", forge/total, 0.75, 0.43/math.Sqrt(total))
	near("prompt tokens", prompt/briefs, 200, 200*0.66/math.Sqrt(briefs))
	near("output tokens", output/briefs, 400, 400*0.66/math.Sqrt(briefs))
	for router := range 3 {
		near("router", firstRouters[router]/total, 1.0/3, 0.47/math.Sqrt(total))
	}
}

// TestPrefixes guards against prompts without shared prefixes, against prefixes in a workspace that has none configured,
// and against repeated prompts and references.
func TestPrefixes(t *testing.T) {
	prefixes, prompts, references := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for _, request := range allRequests(testSettings(1)) {
		assert.Assert(t, !references[request.Reference])
		references[request.Reference] = true
		if request.Work.Kind != KindStream {
			continue
		}
		if request.Workspace.Name == "lids" {
			assert.Equal(t, request.Prefix, "")
		} else if tokenCount(request.Prefix) == 50 {
			prefixes[request.Prefix] = true
		}
		assert.Assert(t, len(request.Prompt) < 20 || !prompts[request.Prompt])
		prompts[request.Prompt] = true
	}
	assert.Equal(t, len(prefixes), 2)
}

// TestLoad guards against accepting settings that would send no requests or invalid ones.
func TestLoad(t *testing.T) {
	const good = "routers: ['127.0.0.1:1']\nphases: [{duration: 1s, rate: 5}]\nworkspaces: [{name: a, key: k, weight: 1}]\n"
	cases := []struct{ text, want string }{
		{good + "works: [{name: b, kind: stream, weight: 1, model: m, prompt_tokens: 5, output_tokens: 5}]\n", ""},
		{good + "works: [{name: b, kind: stream, weight: 1, prompt_tokens: 5, output_tokens: 5}]\n", "works[b].model: required"},
		{good + "works: [{name: b, kind: stream, weight: 1, model: m, prompt_tokens: 5}]\n", "output_tokens: required"},
		{good + "works: [{name: b, kind: unary, weight: 1, method: GET}]\n", "method or path: required"},
		{good + "works: [{name: b, kind: unary, weight: 0, method: GET, path: /x}]\n", "all weights are 0"},
		{good + "works: [{name: b, kind: unray, weight: 1}]\n", "one of stream, unary"},
		{good, "works: required"},
	}
	for _, c := range cases {
		file := filepath.Join(t.TempDir(), "load.yaml")
		assert.NilError(t, os.WriteFile(file, []byte(c.text), 0o600))
		_, err := Load(file)
		if c.want == "" {
			assert.NilError(t, err)
			continue
		}
		assert.Assert(t, err != nil && strings.Contains(err.Error(), c.want), "%v", err)
	}
}
