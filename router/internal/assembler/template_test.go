package assembler

import (
	"encoding/json"
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootplank/internal/cataloguer"
	"coltsfootplank/internal/loader"
)

// templatePath is the template of the settings on the platform.
const templatePath = "../../../deploy/router.yaml.tmpl"

var (
	sectionPattern     = regexp.MustCompile(`(?s)\{\{#([a-z_.]+)\}\}(.*?)\{\{/[a-z_.]+\}\}`)
	placeholderPattern = regexp.MustCompile(`\{\{([a-z_.0-9]+)(\|json)?\}\}`)
)

// render fills in the placeholders and list sections that the template uses.
func render(t *testing.T, template string, fields map[string]any) string {
	t.Helper()
	template = sectionPattern.ReplaceAllStringFunc(template, func(section string) string {
		parts := sectionPattern.FindStringSubmatch(section)
		values, list := fields[parts[1]].([]string)
		switch {
		case fields[parts[1]] == nil:
			return ""
		case !list:
			return parts[2]
		}
		var items []string
		for _, value := range values {
			item := strings.ReplaceAll(parts[2], "{{.|json}}", fmt.Sprintf("%q", value))
			items = append(items, strings.TrimSpace(strings.ReplaceAll(item, "{{,}}", "")))
		}
		return strings.Join(items, ", ")
	})
	return placeholderPattern.ReplaceAllStringFunc(template, func(placeholder string) string {
		parts := placeholderPattern.FindStringSubmatch(placeholder)
		value, ok := fields[parts[1]]
		assert.Assert(t, ok, "unknown field %s", parts[1])
		if parts[2] == "" {
			return fmt.Sprint(value)
		}
		text, err := json.Marshal(value)
		assert.NilError(t, err)
		return string(text)
	})
}

// platformFields are those that the template uses.
func platformFields() map[string]any {
	return map[string]any{
		"node_name": "frontend-a-1", "zone": "a", "ip": "10.0.0.1", "internal_ports.0": 7600,
		"listen.frontend": "10.0.0.1:8221", "listen.readiness": "10.0.0.1:8224", "listen.control_plane": "10.0.0.1:8229",
		"seed_nodes": []string{"10.0.0.1:8229", "10.0.0.2:8229"}, "platform.address": "10.0.1.1:8225",
		"bounds.retry_budget_ratio": 0.2, "bounds.retry_budget_slack": 129, "bounds.quota_window_s": 8,
		"limits.cpu_share": 0.272,
	}
}

// TestTemplateWithoutAllowances guards against a router that doesn't start where the platform states no window.
func TestTemplateWithoutAllowances(t *testing.T) {
	template, err := os.ReadFile(templatePath)
	assert.NilError(t, err)
	fields := platformFields()
	delete(fields, "bounds.quota_window_s")
	settings, err := loader.Parse("router.yaml", []byte(render(t, string(template), fields)))
	assert.NilError(t, err)
	assert.Equal(t, settings.Scheduling.AllowanceWindow, time.Duration(0))
}

// TestTemplate guards against a deployment whose rendered settings the router refuses, and against a planned stop that takes
// longer than the platform's grace period or takes requests that can't end within it.
func TestTemplate(t *testing.T) {
	const (
		gracePeriod = 8 * time.Second
		// lastTaken is when a request after SIGTERM has to be refused, since its answer might be cut.
		lastTaken = 3 * time.Second
		// listed is when the load balancer has missed two checks of one second and sends no more connections.
		listed = 2 * time.Second
	)
	template, err := os.ReadFile(templatePath)
	assert.NilError(t, err)
	text := render(t, string(template), platformFields())
	settings, err := loader.Parse("router.yaml", []byte(text))
	assert.NilError(t, err)
	assert.Assert(t, settings.Gateway.Enabled())
	assert.DeepEqual(t, settings.Peers.Seeds, []string{"10.0.0.1:8229", "10.0.0.2:8229"})
	assert.Equal(t, settings.Scheduling.AllowanceWindow, 8*time.Second)
	assert.Assert(t, settings.Drain.Delay > listed && settings.Drain.Delay < lastTaken)
	assert.Assert(t, settings.Drain.Delay+settings.Drain.Timeout < gracePeriod)
	assert.NilError(t, schedulerSettings(settings.Scheduling, cataloguer.Pool{}).Check())
}
