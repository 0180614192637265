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

// placeholder matches what scripts/demo.sh replaces by a port.
var placeholder = regexp.MustCompile(`PORT_([0-9]{2})`)

// TestDemoFiles guards against demo files that no longer fit the settings or the catalogue.
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
