package commander

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	_ "coltsfootplank/platform"
	"coltsfootplank/routerctl/internal/inspector"
)

const checkedSettings = `name: r1
data_centre: d1
callers: {listen: 127.0.0.1:1}
peers: {listen: 127.0.0.1:2}
admin: {listen: 127.0.0.1:3}
gateway:
  directory: {protocol: platform, address: 127.0.0.1:4}
  dialect: platform
  readiness: {listen: 127.0.0.1:5, path: /r}
  repeat_ratio: 0.1
limits: {memory_mb: 64}
`

const checkedConfiguration = `{
	"version": 3,
	"routes": [
		{"name": "p", "host": "h", "path_prefix": "/p/", "route_kind": "safe", "timeout_ms": 1000, "answer_target_ms": 150,
			"attempts": 2, "service": "s"},
		{"name": "q", "host": "h", "path_prefix": "/q/", "route_kind": "unsafe", "timeout_ms": 1000, "service": "t"}
	],
	"services": [
		{"name": "s"},
		{"name": "t", "engine": {"kv_capacity_tokens": 1000}}
	],
	"tenants": [
		{"name": "w", "api_keys": ["secret-1"], "unit": "tokens", "rate_per_s": 10, "burst": 100, "uncached_tokens": 50},
		{"name": "x", "api_keys": ["secret-2"]}
	],
	"limits": {"max_body_bytes": 4194304}
}
`

// TestCheck guards against mistakes that aren't found or stand at another line, against findings in a sound configuration,
// and against keys in the output.
func TestCheck(t *testing.T) {
	cases := []struct {
		name     string
		old, new string
		code     int
		// want are parts of the lines of the report, in order.
		want []string
	}{
		{"sound", "", "", exitSuccess, nil},
		{"not JSON", `"routes": [`, `"routes": [[`, exitUnreadable, nil},
		{"wrong type", `"burst": 100`, `"burst": "100"`, exitUnreadable, nil},
		{"no version", `"version": 3,`, "", exitUnreadable, nil},
		{"unknown service", `"service": "t"`, `"service": "u"`, exitFindings,
			[]string{`c.json:6: error: route "q": service "u" isn't defined`, `c.json:10: unreachable: no route leads to service "t"`}},
		{"unknown kind", `"unsafe"`, `"other"`, exitFindings, []string{"c.json:6: error: the kind is unknown"}},
		{"shadowed", `"/q/"`, `"/p/"`, exitFindings, []string{"c.json:4: unreachable: the route at line 6"}},
		{"prefix without slash", `"/q/"`, `"/q"`, exitFindings, []string{"c.json:6: unreachable: "}},
		{"weights of 0", `"service": "t"`, `"split": [{"service": "t", "weight": 0}]`, exitFindings,
			[]string{"c.json:6: error: route \"q\": all weights are 0", "c.json:10: unreachable: "}},
		{"key held twice", "secret-2", "secret-1", exitFindings, []string{`c.json:14: error: key 1 of workspace "x" is held by workspace "w" too`}},
		{"names twice", `"x"`, `"w"`, exitFindings, []string{"c.json:14: error: "}},
		{"short time limit", `"timeout_ms": 1000, "answer`, `"timeout_ms": 100, "answer`, exitFindings,
			[]string{"c.json:4: contradiction: route \"p\": the time limit of 100ms is shorter than the objective of 150ms"}},
		{"long pause", `"service": "t"`, `"gap_target_ms": 2000, "service": "t"`, exitFindings,
			[]string{"c.json:6: contradiction: ", "c.json:6: contradiction: "}},
		{"small burst", `"burst": 100`, `"burst": 40`, exitFindings, []string{"c.json:13: contradiction: "}},
		{"burst without rate", `"rate_per_s": 10`, `"rate_per_s": 0`, exitFindings, []string{"c.json:13: contradiction: "}},
		{"large bodies", "4194304", "41943040", exitFindings, []string{"c.json:16: contradiction: a body of 41943040 bytes"}},
		{"nothing to repeat", `"attempts": 2`, `"attempts": 1`, exitFindings, []string{"s.yaml:10: contradiction: gateway.repeat_ratio: "}},
	}
	directory := t.TempDir()
	write := func(name, text string) string {
		file := filepath.Join(directory, name)
		assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
		return file
	}
	run := func(arguments ...string) result {
		var out, err bytes.Buffer
		code := Run(t.Context(), append([]string{"check"}, arguments...), Streams{Out: &out, Err: &err})
		return result{code: code, out: out.String(), err: err.String()}
	}
	settings, before := write("s.yaml", checkedSettings), write("before.json", checkedConfiguration)
	for _, k := range cases {
		file := write("c.json", strings.Replace(checkedConfiguration, k.old, k.new, 1))
		got := run(file, settings)
		assert.Equal(t, got.code, k.code, "%s: %s%s", k.name, got.out, got.err)
		assert.Equal(t, strings.Count(got.out, "\n"), len(k.want), "%s: %s", k.name, got.out)
		for i, line := range strings.Split(strings.TrimSpace(got.out), "\n")[:len(k.want)] {
			assert.Assert(t, strings.HasPrefix(line, filepath.Join(directory, k.want[i])), "%s: %s", k.name, line)
		}
		var findings []inspector.Finding
		if k.code == exitUnreadable {
			continue
		}
		assert.NilError(t, json.Unmarshal([]byte(run(file, settings, "-o", "json").out), &findings), k.name)
		for i, finding := range findings {
			assert.Equal(t, finding.String(), strings.Split(got.out, "\n")[i])
		}
		assert.Equal(t, len(findings), len(k.want))
	}
	assert.Equal(t, run(before, settings+".none").code, exitUnreadable)
	changed := strings.NewReplacer(`"attempts": 2`, `"attempts": 3`, "secret-2", "secret-3", `"version": 3`, `"version": 4`).Replace(checkedConfiguration)
	got := run(write("c.json", changed), settings, "--against", before)
	assert.Equal(t, got.code, exitSuccess, got.out)
	assert.Assert(t, !strings.Contains(got.out, "secret"))
	file := filepath.Join(directory, "c.json")
	lines := strings.Split(got.out, "\n")
	assert.Equal(t, len(lines), 3, got.out)
	assert.Equal(t, lines[0], file+":4: difference: routes[p].attempts: 3, before 2")
	assert.Assert(t, lines[1] == file+":14: difference: workspaces[x].keys: 1 keys, before 1 keys", got.out)
}
