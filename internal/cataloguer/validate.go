package cataloguer

import (
	"fmt"
	"math"
	"net/http"
	"net/netip"
	"regexp"
	"slices"
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// namePattern allows only names that can be used in log lines, metric names and URLs.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

var hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

var serviceMethods = []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodDelete, http.MethodPatch}

// entry reports problems of one catalogue entry, with its path and its position in the document.
type entry struct {
	problems *problems
	node     ast.Node
	path     string
}

func (e entry) check(ok bool, field, reason string, arguments ...any) {
	if !ok {
		e.problems.add(child(e.node, field), e.path+"."+field, fmt.Sprintf(reason, arguments...))
	}
}

func (e entry) checkName(checkName string, taken map[string]bool) {
	e.check(namePattern.MatchString(checkName), "name", "%q is not a name (lower case letters, digits, '.', '_' and '-')", checkName)
	e.check(!taken[checkName], "name", "%q is used twice", checkName)
	taken[checkName] = true
}

func (e entry) checkNotNegative(field string, value int) {
	e.check(value >= 0, field, "must not be negative")
}

func entryAt(p *problems, section string, nodes []ast.Node, i int) entry {
	e := entry{problems: p, path: fmt.Sprintf("%s[%d]", section, i)}
	if i < len(nodes) {
		e.node = nodes[i]
	}
	return e
}

// validate adds every invalid value to p. The rules decide which log records are accepted, so all routers must apply
// the same rules. A rule may only be relaxed, and all routers must have the relaxed rule before a record relies on
// it.
func (c *Catalogue) validate(p *problems, doc *document) {
	c.validateWorkspaces(p, doc.Workspaces)
	c.validatePools(p, doc.Pools)
	c.validateWorks(p, doc.Works)
}

func (c *Catalogue) validateWorkspaces(p *problems, nodes []ast.Node) {
	names := make(map[string]bool)
	hashes := make(map[string]bool)
	for i, workspace := range c.Workspaces {
		e := entryAt(p, "workspaces", nodes, i)
		e.checkName(workspace.Name, names)
		e.check(workspace.Weight > 0 && !math.IsInf(workspace.Weight, 0), "weight", "must be a positive number")
		for _, hash := range workspace.KeyHashes {
			e.check(hashPattern.MatchString(hash), "key_hashes", "%q is not a SHA-256 digest in lower case hex", hash)
			e.check(!hashes[hash], "key_hashes", "%q is used twice", hash)
			hashes[hash] = true
		}
	}
}

func (c *Catalogue) validatePools(p *problems, nodes []ast.Node) {
	names := make(map[string]bool)
	upstreams := make(map[string]bool)
	addresses := make(map[string]bool)
	for i, pool := range c.Pools {
		e := entryAt(p, "pools", nodes, i)
		e.checkName(pool.Name, names)
		e.check(pool.Protocol != "", "protocol", "is missing")
		e.checkNotNegative("max_queue", pool.MaxQueue)
		list := child(e.node, "upstreams")
		for j, upstream := range pool.Upstreams {
			u := entry{problems: p, node: item(list, j), path: fmt.Sprintf("%s.upstreams[%d]", e.path, j)}
			u.checkName(upstream.Name, upstreams)
			u.validateUpstream(upstream, addresses)
		}
	}
}

func (e entry) validateUpstream(upstream Upstream, addresses map[string]bool) {
	_, err := netip.ParseAddrPort(upstream.Address)
	e.check(err == nil, "address", "%q is not ip:port", upstream.Address)
	e.check(!addresses[upstream.Address], "address", "%q is used twice", upstream.Address)
	addresses[upstream.Address] = true
	e.check(upstream.DataCentre != "", "data_centre", "is missing")
	e.check(upstream.Slots > 0, "slots", "must be positive")
	e.checkNotNegative("prefill_tokens_per_second", upstream.PrefillPerSec)
	e.checkNotNegative("output_tokens_per_second", upstream.TokensPerSec)
	e.checkNotNegative("kv_tokens", upstream.KVTokens)
}

func (c *Catalogue) validateWorks(p *problems, nodes []ast.Node) {
	names := make(map[string]bool)
	models := make(map[string]bool)
	paths := make(map[pathKey]bool)
	for i := range c.Works {
		work := &c.Works[i]
		e := entryAt(p, "works", nodes, i)
		e.checkName(work.Name, names)
		c.validateReferences(e, work)
		e.validateValues(work)
		switch work.Class {
		case ClassStream:
			e.check(work.Model != "", "model", "is missing; stream work is named by its model")
			e.check(work.Path == "" && work.Method == "", "path", "stream work has neither path nor method")
			e.check(work.Model == "" || !models[work.Model], "model", "%q is used twice", work.Model)
			models[work.Model] = true
		case ClassUnary:
			key := pathKey{method: work.HTTPMethod(), path: work.Path}
			e.check(strings.HasPrefix(work.Path, "/"), "path", "%q does not start with a slash", work.Path)
			e.check(work.Model == "", "model", "unary work has no model")
			e.check(slices.Contains(serviceMethods, work.HTTPMethod()), "method", "%q is not one of %v", work.Method, serviceMethods)
			e.check(!paths[key], "path", "%s %s is used twice", key.method, key.path)
			paths[key] = true
		default:
			e.check(false, "class", "%q is neither %q nor %q", work.Class, ClassStream, ClassUnary)
		}
	}
}

func (c *Catalogue) validateReferences(e entry, work *Work) {
	e.check(slices.ContainsFunc(c.Pools, func(pool Pool) bool { return pool.Name == work.Pool }),
		"pool", "there is no pool %q", work.Pool)
	for _, name := range work.Workspaces {
		e.check(slices.ContainsFunc(c.Workspaces, func(workspace Workspace) bool { return workspace.Name == name }),
			"workspaces", "there is no workspace %q", name)
	}
}

func (e entry) validateValues(work *Work) {
	e.check(work.Tier >= HighestTier && work.Tier <= LowestTier, "tier", "%d is not within %d..%d", work.Tier, HighestTier, LowestTier)
	switch work.KeyFormat {
	case "", KeyFormatAny, KeyFormatUUIDv7:
	default:
		e.check(false, "key_format", "%q is neither %q nor %q", work.KeyFormat, KeyFormatAny, KeyFormatUUIDv7)
	}
	e.check(work.Deadline >= 0, "deadline", "must not be negative")
	e.checkNotNegative("expected_prompt_tokens", work.ExpectedPrompt)
	e.checkNotNegative("expected_output_tokens", work.ExpectedOutput)
	limits := entry{problems: e.problems, node: child(e.node, "limits"), path: e.path + ".limits"}
	limits.checkNotNegative("concurrency", work.Limits.Concurrency)
	limits.checkNotNegative("tokens_per_minute", work.Limits.TokensPerMinute)
	limits.checkNotNegative("max_output_tokens", work.Limits.MaxOutputTokens)
}
