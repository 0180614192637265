package loader

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const minimal = `name: r1
data_centre: recife-1
callers: {listen: "127.0.0.1:9000"}
peers: {listen: "127.0.0.1:9001"}
admin: {listen: "127.0.0.1:9002"}
platform:
  log: {address: "127.0.0.1:9100"}
`

// TestProblems guards against a bad setting that is accepted, or reported at the wrong line or field.
func TestProblems(t *testing.T) {
	cases := []struct {
		name, text, want string
		problem          any
	}{
		{"unknown key", "scheduling:\n  max_que: 1\n", "r.yaml:9: scheduling.max_que: unknown key", new(*UnknownKeyError)},
		{"duration without unit", "drain:\n  delay: 3\n", "r.yaml:9: drain.delay: wrong unit", new(*WrongUnitError)},
		{"duration with wrong unit", "drain:\n  delay: 3 days\n", "r.yaml:9: drain.delay: wrong unit", new(*WrongUnitError)},
		{"bytes with unit", "limits:\n\n  max_body_bytes: 4MiB\n", "r.yaml:10: limits.max_body_bytes: wrong unit", new(*WrongUnitError)},
		{"fraction for whole number", "scheduling:\n  max_queue: 1.5\n", "r.yaml:9: scheduling.max_queue: wrong value", new(*WrongTypeError)},
		{"text for number", "scheduling: {max_queue: many}\n", "r.yaml:8: scheduling.max_queue: wrong value", new(*WrongTypeError)},
		{"mapping expected", "scheduling: 7\n", "r.yaml:8: scheduling: wrong value", new(*WrongTypeError)},
		{"number too small", "scheduling:\n  max_queue: 0\n", "r.yaml:9: scheduling.max_queue: value 0 is out of range, want 1 to", new(*OutOfRangeError)},
		{"share too large", "scheduling: {long_share: 1.01}\n", "r.yaml:8: scheduling.long_share: value 1.01", new(*OutOfRangeError)},
		{"duration too long", "drain:\n  delay: 6m\n", "r.yaml:9: drain.delay: value 6m0s is out of range", new(*OutOfRangeError)},
		{"bad choice", "log: {level: loud}\n", `r.yaml:8: log.level: value "loud" is out of range`, new(*OutOfRangeError)},
		{"bad plug-in name", "tls: {}\nmembership: {}\ncatalogue: {}\nclaims:\nlimits: {}\ndrain: {}\nscheduling: {engine_policy: \"a b\"}\n",
			"r.yaml:14: scheduling.engine_policy", new(*OutOfRangeError)},
		{"duplicate key", "name: r2\n", "r.yaml:8", new(*SyntaxError)},
		{"broken text", "log: {level\n", "r.yaml:8", new(*SyntaxError)},
		{"retry bounds", "scheduling: {retry_after_min: 2s, retry_after_max: 1s}\n", "r.yaml:8: scheduling.retry_after_max", new(*ConflictError)},
		{"probe timeout too long", "membership: {probe_timeout: 1s}\n", "r.yaml:8: membership.probe_timeout", new(*ConflictError)},
		{"key without certificate", "tls:\n  admin:\n    key_file: k.pem\n", "r.yaml:10: tls.admin.key_file", new(*ConflictError)},
		{"two documents", "---\nname: r2\n", "more than one document", new(*SyntaxError)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse("r.yaml", []byte(minimal+c.text))
			assert.ErrorContains(t, err, c.want)
			assert.Assert(t, errors.As(err, c.problem), "%T in %v", c.problem, err)
			var all SettingsErrors
			assert.Assert(t, errors.As(err, &all))
			assert.Equal(t, len(all), 1, "%v", err)
		})
	}
}

// TestAddresses guards against host names and unusable ports being accepted.
func TestAddresses(t *testing.T) {
	cases := []struct{ address, advertise, want string }{
		{"localhost:9000", "", "want an IP number"},
		{"127.0.0.1", "", "want an IP number"},
		{"127.0.0.1:0", "", "port 0"},
		{"0.0.0.0:9000", "", "callers.advertise: address \"0.0.0.0:9000\": the unspecified address"},
		{"0.0.0.0:9000", "10.0.0.7:9000", ""},
		{"[::1]:9000", "", ""},
	}
	for _, c := range cases {
		text := strings.Replace(minimal, `"127.0.0.1:9000"`, fmt.Sprintf("%q, advertise: %q", c.address, c.advertise), 1)
		settings, err := Parse("r.yaml", []byte(text))
		if c.want == "" {
			assert.NilError(t, err)
			assert.Assert(t, settings.Callers.Advertise != "")
			continue
		}
		assert.ErrorContains(t, err, c.want)
		var address *AddressError
		assert.Assert(t, errors.As(err, &address))
		assert.Equal(t, address.Line, 3)
	}
}

// TestAllProblems guards against reporting only the first of several problems.
func TestAllProblems(t *testing.T) {
	_, err := Parse("r.yaml", []byte("data_centre: d\nname: 7\ndrain: {delay: 1h, timeout: 5}\npeers: {seeds: [\"10.0.0.1:1\", \"host:2\"]}\n"))
	var all SettingsErrors
	assert.Assert(t, errors.As(err, &all))
	var fields []string
	for _, problem := range all {
		fields = append(fields, fmt.Sprint(problem.At().Line, " ", problem.At().Field))
	}
	assert.DeepEqual(t, fields, []string{"1 callers.listen", "1 admin.listen", "1 platform.log.address", "2 name",
		"3 drain.timeout", "3 drain.delay", "4 peers.listen", "4 peers.seeds[1]"})
}

// TestMinimal guards against defaults that don't pass their own checks, and against a file that resets them.
func TestMinimal(t *testing.T) {
	settings, err := Parse("r.yaml", []byte(minimal+"drain: {delay: 50ms}\n"))
	assert.NilError(t, err)
	assert.Equal(t, settings.Drain, Drain{Delay: 50 * time.Millisecond, Timeout: Defaults().Drain.Timeout})
	assert.Equal(t, settings.Scheduling, Defaults().Scheduling)
	assert.Equal(t, settings.Peers.Advertise, "127.0.0.1:9001")
	assert.Equal(t, len(settings.Validate()), 0)
}

// TestCertificates guards against a missing or unusable certificate file that is noticed only at the first connection.
func TestCertificates(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.pem")
	assert.NilError(t, os.WriteFile(bad, []byte("no certificate"), 0o600))
	problems := TLS{Admin: TLSFiles{CertFile: bad, KeyFile: bad}, Peers: TLSFiles{CertFile: bad + ".none"}}.Check()
	assert.Equal(t, len(problems), 2, "%v", problems)
	assert.Equal(t, problems[0].At().Field, "tls.peers")
	assert.Equal(t, problems[1].At().Field, "tls.admin")
	assert.Equal(t, len(TLS{}.Check()), 0)
}

// TestReference guards against a setting without description or unit in the printed reference.
func TestReference(t *testing.T) {
	entries := Reference()
	fields := map[string]SettingEntry{}
	for _, entry := range entries {
		assert.Assert(t, entry.Help != "", entry.Field)
		assert.Assert(t, entry.Type == "text" || entry.Unit != "", "%s has no unit", entry.Field)
		fields[entry.Field] = entry
	}
	assert.DeepEqual(t, fields["membership.probe_interval"], SettingEntry{Field: "membership.probe_interval",
		Type: "duration", Unit: "duration", Default: "1s", Range: "50ms to 1m",
		Help: "time between two probes of random members"})
	defaults := Defaults()
	assert.Equal(t, len(entries), countLeafFields(reflect.ValueOf(defaults)))
}

// countLeafFields counts the settings without relying on the tags.
func countLeafFields(value reflect.Value) int {
	if value.Kind() != reflect.Struct {
		return 1
	}
	count := 0
	for i := range value.NumField() {
		count += countLeafFields(value.Field(i))
	}
	return count
}
