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

// templatePath is the template from which the platform renders the settings file of a router.
const templatePath = "../../../deploy/router.yaml.tmpl"

var (
	sectionPattern     = regexp.MustCompile(`(?s)\{\{#([a-z_.]+)\}\}(.*?)\{\{/[a-z_.]+\}\}`)
	placeholderPattern = regexp.MustCompile(`\{\{([a-z_.0-9]+)(\|json)?\}\}`)
)

// render replaces the placeholders and sections in the template by the fields. It supports only what the template uses.
func render(t *testing.T, template string, fields map[string]any) string {
	t.Helper()
	template = sectionPattern.ReplaceAllStringFunc(template, func(section string) string {
		parts := sectionPattern.FindStringSubmatch(section)
		values, isList := fields[parts[1]].([]string)
		switch {
		case fields[parts[1]] == nil:
			return ""
		case !isList:
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

// platformFields returns values of all fields that the template uses.
func platformFields() map[string]any {
	return map[string]any{
		"node_name": "frontend-a-1", "zone": "a", "ip": "10.0.0.1", "internal_ports.0": 7600,
		"listen.frontend": "10.0.0.1:8221", "listen.readiness": "10.0.0.1:8224", "listen.control_plane": "10.0.0.1:8229",
		"seed_nodes": []string{"10.0.0.1:8229", "10.0.0.2:8229"}, "platform.address": "10.0.1.1:8225",
		"bounds.retry_budget_ratio": 0.2, "bounds.retry_budget_slack": 129, "bounds.quota_window_s": 8,
		"bounds.grace_period_s": 8,
		"limits.cpu_share":      0.272,
		"contracts":             []string{"retries", "rollout"}, "bounds.exposure_share": 0.05, "bounds.exposure_slack": 20,
	}
}

// TestTemplateWithoutAllowances guards against a router that doesn't start if the platform states no allowance window.
func TestTemplateWithoutAllowances(t *testing.T) {
	template, err := os.ReadFile(templatePath)
	assert.NilError(t, err)
	fields := platformFields()
	delete(fields, "bounds.quota_window_s")
	settings, err := loader.Parse("router.yaml", []byte(render(t, string(template), fields)))
	assert.NilError(t, err)
	assert.Equal(t, settings.Scheduling.AllowanceWindow, time.Duration(0))
}

// TestTemplateWithoutRollouts guards against rollouts where the platform doesn't ask for them, and against settings that the
// router refuses there.
func TestTemplateWithoutRollouts(t *testing.T) {
	template, err := os.ReadFile(templatePath)
	assert.NilError(t, err)
	fields := platformFields()
	for _, name := range []string{"contracts", "bounds.exposure_share", "bounds.exposure_slack"} {
		delete(fields, name)
	}
	settings, err := loader.Parse("router.yaml", []byte(render(t, string(template), fields)))
	assert.NilError(t, err)
	assert.Assert(t, !settings.Gateway.Rollouts.Enabled())
	assert.Equal(t, settings.Gateway.Rollouts.ExposureSlack, 50.0)
}

// TestPlannedStopWithinGracePeriod guards against a planned stop that takes longer than the grace period of a deployment,
// which cuts requests off, and against one that ends long before and cuts off requests that could have finished.
func TestPlannedStopWithinGracePeriod(t *testing.T) {
	template, err := os.ReadFile(templatePath)
	assert.NilError(t, err)
	for _, seconds := range []float64{2, 4, 5, 7.5, 8, 20, 60} {
		fields := platformFields()
		fields["bounds.grace_period_s"] = seconds
		settings, err := loader.Parse("router.yaml", []byte(render(t, string(template), fields)))
		assert.NilError(t, err)
		delay, timeout := settings.Drain.WithinGracePeriod()
		period := time.Duration(seconds * float64(time.Second))
		assert.Assert(t, delay+timeout < period, "%s and %s in %s", delay, timeout, period)
		assert.Assert(t, period-delay-timeout <= time.Second, "%s and %s in %s", delay, timeout, period)
		assert.Assert(t, timeout > delay, "%s and %s in %s", delay, timeout, period)
	}
}

// TestTemplate guards against rendered settings that the router refuses, and against a planned stop that takes longer
// than the platform's grace period or accepts requests that can't finish within it.
func TestTemplate(t *testing.T) {
	const (
		gracePeriod = 8 * time.Second
		// refuseAfter is the time after SIGTERM from which requests have to be refused, because their answers might be
		// cut off.
		refuseAfter = 3 * time.Second
		// balancerDelay is the time after which the load balancer sends no more connections, because two checks, one
		// second apart, have failed.
		balancerDelay = 2 * time.Second
	)
	template, err := os.ReadFile(templatePath)
	assert.NilError(t, err)
	text := render(t, string(template), platformFields())
	settings, err := loader.Parse("router.yaml", []byte(text))
	assert.NilError(t, err)
	assert.Assert(t, settings.Gateway.Enabled())
	assert.DeepEqual(t, settings.Peers.Seeds, []string{"10.0.0.1:8229", "10.0.0.2:8229"})
	assert.Equal(t, settings.Scheduling.AllowanceWindow, 8*time.Second)
	assert.Assert(t, settings.Gateway.Rollouts.Enabled())
	assert.Equal(t, settings.Gateway.Rollouts.ExposureShare, 0.05)
	assert.Equal(t, settings.Gateway.Rollouts.ExposureSlack, 20.0)
	delay, timeout := settings.Drain.WithinGracePeriod()
	assert.Assert(t, delay > balancerDelay && delay < refuseAfter)
	assert.Assert(t, delay+timeout < gracePeriod)
	assert.NilError(t, schedulerSettings(settings.Scheduling, cataloguer.Pool{}).Check())
}
