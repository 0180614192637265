package planner

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestDemoLoad guards against a load file of the demo that is no longer valid.
func TestDemoLoad(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("..", "..", "..", "demo", "load.yaml"))
	assert.NilError(t, err)
	file := filepath.Join(t.TempDir(), "load.yaml")
	assert.NilError(t, os.WriteFile(file, []byte(strings.ReplaceAll(string(text), "PORT_", "197")), 0o600))
	settings, err := Load(file)
	assert.NilError(t, err)
	assert.Equal(t, len(settings.Works), 5)
}
