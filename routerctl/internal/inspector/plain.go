package inspector

import (
	"fmt"
	"slices"
	"strings"

	"coltsfootplank/internal/kernel"
)

// routeKinds are the names of the kinds of routes in differences.
var routeKinds = map[kernel.RouteKind]string{
	kernel.RouteAtMostOnce: "at most once", kernel.RouteIdempotent: "idempotent", kernel.RouteStream: "stream",
}

// plain returns a publication as maps and lists of named entries, as package differ compares them. The version isn't part
// of it.
func plain(p *kernel.Publication) any {
	routes, services, workspaces := make([]any, 0), make([]any, 0), make([]any, 0)
	for _, r := range p.Routes {
		targets := make(map[string]any)
		for _, t := range r.Targets {
			targets[t.Service] = t.Weight
		}
		routes = append(routes, map[string]any{
			"name": r.Name, "host": r.Host, "prefix": r.Prefix, "kind": routeKinds[r.Kind], "timeout": r.Timeout,
			"objective": r.Objective, "max_pause": r.MaxPause, "tier": r.Tier, "targets": targets, "attempts": r.Attempts,
			"public": r.Public, "resumable": r.Resumable,
		})
	}
	for _, s := range p.Services {
		services = append(services, map[string]any{
			"name": s.Name, "model_engines": s.ModelEngines, "kv_tokens": s.KVTokens, "tokens_per_event": s.TokensPerEvent,
		})
	}
	for _, w := range p.Workspaces {
		workspaces = append(workspaces, map[string]any{
			"name": w.Name, "keys": newKeySet(w.Keys), "tier": w.Tier, "rate": w.Rate, "burst": w.Burst,
			"requests_as_unit": w.RequestUnit, "default_tokens": w.DefaultTokens,
		})
	}
	return map[string]any{"routes": routes, "services": services, "workspaces": workspaces, "max_body_bytes": p.MaxBodyBytes}
}

// keySet is a set of keys, which are secrets and aren't printed.
type keySet struct {
	count  int
	sorted string
}

func newKeySet(keys []string) keySet {
	return keySet{count: len(keys), sorted: strings.Join(slices.Sorted(slices.Values(keys)), "\x00")}
}

func (k keySet) String() string { return fmt.Sprintf("%d keys", k.count) }
