package commander

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootplank/internal/cataloguer"
	"coltsfootplank/internal/loader"
)

// placeholder matches the text that scripts/demo.sh replaces by a port.
var placeholder = regexp.MustCompile(`PORT_([0-9]{2})`)

// TestDemoFiles guards against demo files that are no longer valid settings or a valid catalogue.
func TestDemoFiles(t *testing.T) {
	read := func(name string) []byte {
		text, err := os.ReadFile(filepath.Join("..", "..", "..", "demo", name))
		assert.NilError(t, err)
		return []byte(placeholder.ReplaceAllString(strings.ReplaceAll(string(text), "NUMBER", "2"), "197$1"))
	}
	settings, err := loader.Parse("router.yaml", read("router.yaml"))
	assert.NilError(t, err)
	assert.Equal(t, settings.Callers.Listen, "127.0.0.1:19732")
	catalogue, err := cataloguer.ParseFile("catalogue.yaml", read("catalogue.yaml"))
	assert.NilError(t, err)
	_, known := catalogue.WorkspaceByKey("demo-key-caruaru")
	assert.Assert(t, known)
}

// TestOperatorsPage guards against a settings table in docs/operators.md that differs from the code.
func TestOperatorsPage(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "..", "..", "docs", "operators.md"))
	assert.NilError(t, err)
	got := runAt(t, "127.0.0.1:1", "settings", "reference", "--markdown")
	assert.Assert(t, strings.Contains(got.out, "| `drain.delay` | duration | `3s` | 0s to 5m |"), got.out)
	assert.Assert(t, strings.Contains(string(page), got.out),
		"run scripts/settings-table.sh")
}
