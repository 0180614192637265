package kernel

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"
)

// TestRegistryLookup guards against a misspelt plug-in name being accepted or reported without the known names.
func TestRegistryLookup(t *testing.T) {
	registry := NewRegistry[int]("number")
	registry.Register("one", 1)
	cases := []struct {
		name  string
		want  int
		known bool
	}{
		{name: "one", want: 1, known: true},
		{name: "two", known: false},
	}
	for _, c := range cases {
		got, err := registry.Lookup(c.name)
		if c.known {
			assert.NilError(t, err)
			assert.Equal(t, got, c.want)
			continue
		}
		var unknown *UnknownPluginError
		assert.Assert(t, errors.As(err, &unknown))
		assert.DeepEqual(t, unknown.Known, []string{"one"})
	}
}

// TestRegisterTwice guards against one plug-in silently replacing another.
func TestRegisterTwice(t *testing.T) {
	registry := NewRegistry[int]("number")
	registry.Register("one", 1)
	defer func() {
		_, ok := recover().(*DuplicatePluginError)
		assert.Assert(t, ok)
	}()
	registry.Register("one", 2)
}
