package configurer

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestExample guards against an example that the strict parser refuses, and against expanding it to the wrong number
// of components.
func TestExample(t *testing.T) {
	settings, err := Parse(Example)
	assert.NilError(t, err)
	engines := settings.AllEngines()
	assert.Equal(t, len(engines), 5)
	assert.Equal(t, engines[3].Name, "fast-3")
	assert.Equal(t, engines[3].Address, "127.0.0.1:9723")
	assert.Equal(t, engines[3].DataCentre, "recife-1")
	assert.Equal(t, engines[3].BatchSlots, 16)
	assert.Equal(t, engines[4].Name, "slow")
	assert.Equal(t, engines[4].Address, "127.0.0.1:9730")
	assert.Equal(t, len(settings.AllDesks()), 3)
}

// TestInvalidSettings guards against accepting settings in which a key or value would have no effect.
func TestInvalidSettings(t *testing.T) {
	cases := []struct {
		text string
		want string
	}{
		{text: "contrl: 127.0.0.1:1", want: `[1:1] unknown field "contrl"`},
		{text: "engines:\n  - {name: a, batch_slot: 3}", want: "[2:15] unknown field"},
		{text: "control: 127.0.0.1:1\ncontrol: 127.0.0.1:2", want: "[2:1]"},
		{text: "control: 10.0.0.1:1", want: "not a loopback IP address"},
		{text: "control: 127.0.0.1:99999", want: "not a port"},
		{text: "control: 127.0.0.1:9\nlog: {address: 127.0.0.1:9}", want: "is also that of"},
		{text: "engines: [{name: a}, {name: a}]", want: "used twice"},
		{text: "desks: [{count: 1}, {address: 127.0.0.1:7}]", want: "name: missing"},
	}
	for _, c := range cases {
		_, err := Parse([]byte(c.text))
		assert.ErrorContains(t, err, c.want, c.text)
	}
}
