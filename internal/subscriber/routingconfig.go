package subscriber

import (
	"cmp"
	"math"
	"net"
	"slices"
	"strings"

	"coltsfootplank/internal/cataloguer"
	"coltsfootplank/internal/kernel"
)

// RoutingConfig is a published configuration with its lookup tables. It is immutable.
type RoutingConfig struct {
	*kernel.Publication
	Provenance
	// routes holds the routes by lower-case host and path prefix.
	routes map[string]map[string]*kernel.Route
	// keys holds the workspaces by API key.
	keys     map[string]*kernel.PublishedWorkspace
	services map[string]*kernel.PublishedService
	// priorities are the distinct priorities of all pairs of a workspace and a route, the most urgent first.
	priorities []priority
}

// priority orders requests by the tier of their workspace, then by the tier of their route. Lower tiers are more
// urgent.
type priority struct {
	workspace int
	route     int
}

func comparePriorities(a, b priority) int {
	return cmp.Or(cmp.Compare(a.workspace, b.workspace), cmp.Compare(a.route, b.route))
}

// NewRoutingConfig returns the configuration of a publication.
func NewRoutingConfig(publication *kernel.Publication) *RoutingConfig {
	config := &RoutingConfig{
		Publication: publication,
		routes:      make(map[string]map[string]*kernel.Route),
		keys:        make(map[string]*kernel.PublishedWorkspace),
		services:    make(map[string]*kernel.PublishedService, len(publication.Services)),
	}
	for i := range publication.Routes {
		route := &publication.Routes[i]
		host := strings.ToLower(route.Host)
		if config.routes[host] == nil {
			config.routes[host] = make(map[string]*kernel.Route)
		}
		config.routes[host][route.Prefix] = route
	}
	for i := range publication.Services {
		config.services[publication.Services[i].Name] = &publication.Services[i]
	}
	for i := range publication.Workspaces {
		workspace := &publication.Workspaces[i]
		for _, key := range workspace.Keys {
			config.keys[key] = workspace
		}
	}
	config.collectPriorities()
	return config
}

// collectPriorities collects the distinct priorities of all routes and workspaces.
func (c *RoutingConfig) collectPriorities() {
	for i := range c.Routes {
		c.priorities = append(c.priorities, priorityOf(&c.Routes[i], nil))
		for j := range c.Workspaces {
			c.priorities = append(c.priorities, priorityOf(&c.Routes[i], &c.Workspaces[j]))
		}
		slices.SortFunc(c.priorities, comparePriorities)
		c.priorities = slices.Compact(c.priorities)
	}
	if len(c.Workspaces) > 0 {
		// Requests of public routes have no workspace. They don't get priorities of their own, which would take tiers from
		// the workspaces.
		lowest := slices.MinFunc(c.Workspaces, func(a, b kernel.PublishedWorkspace) int {
			return cmp.Compare(a.Tier, b.Tier)
		}).Tier
		c.priorities = slices.DeleteFunc(c.priorities, func(p priority) bool { return p.workspace < lowest })
	}
}

func priorityOf(route *kernel.Route, workspace *kernel.PublishedWorkspace) priority {
	if workspace == nil {
		return priority{workspace: math.MinInt, route: route.Tier}
	}
	return priority{workspace: workspace.Tier, route: route.Tier}
}

// Tier returns the tier of a workspace's requests for a route. If there are more priorities than tiers, adjacent
// priorities share a tier. For public routes, workspace is nil.
func (c *RoutingConfig) Tier(route *kernel.Route, workspace *kernel.PublishedWorkspace) int {
	requested := priorityOf(route, workspace)
	if workspace == nil && len(c.Workspaces) > 0 {
		requested.workspace = c.priorities[0].workspace
	}
	rank, _ := slices.BinarySearchFunc(c.priorities, requested, comparePriorities)
	if len(c.priorities) > cataloguer.TierCount {
		rank = rank * cataloguer.TierCount / len(c.priorities)
	}
	return min(rank, cataloguer.TierCount-1)
}

// Route returns the route of the host with the longest matching path prefix.
func (c *RoutingConfig) Route(host, path string) (*kernel.Route, bool) {
	routes := c.routesOf(host)
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if route, ok := routes[path[:end+1]]; ok {
			return route, true
		}
	}
	return nil, false
}

// HasHost reports whether a host has routes.
func (c *RoutingConfig) HasHost(host string) bool { return c.routesOf(host) != nil }

// routesOf returns the routes of a host, which may have a port, by path prefix.
func (c *RoutingConfig) routesOf(host string) map[string]*kernel.Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return c.routes[strings.ToLower(host)]
}

// Workspace returns the workspace that an API key belongs to.
func (c *RoutingConfig) Workspace(key string) (*kernel.PublishedWorkspace, bool) {
	workspace, ok := c.keys[key]
	return workspace, ok
}

// TokensPerEvent returns the number of tokens per event in the streams of a service; 0 if unknown.
func (c *RoutingConfig) TokensPerEvent(service string) int {
	if found, ok := c.services[service]; ok {
		return found.TokensPerEvent
	}
	return 0
}

// catalogue returns a catalogue with a pool for each service, which holds the upstreams that accept new work, and with
// the workspaces.
func (c *RoutingConfig) catalogue(revision uint64, upstreams []kernel.Registration) *cataloguer.Catalogue {
	catalogue := &cataloguer.Catalogue{Revision: revision}
	pools := make(map[string]int, len(c.Services))
	for _, service := range c.Services {
		pools[service.Name] = len(catalogue.Pools)
		catalogue.Pools = append(catalogue.Pools, cataloguer.Pool{
			Name: service.Name, Opaque: true, ModelEngines: service.ModelEngines,
		})
	}
	for _, upstream := range upstreams {
		index, ok := pools[upstream.Service]
		if !ok || upstream.Leaving {
			continue
		}
		pool := &catalogue.Pools[index]
		pool.Upstreams = append(pool.Upstreams, cataloguer.Upstream{
			Name: upstream.Name, Address: upstream.Address, DataCentre: upstream.DataCentre, Slots: upstream.Slots,
			KVTokens: c.services[upstream.Service].KVTokens, Incarnation: upstream.Incarnation, Version: upstream.Version,
			ColdRemaining: upstream.ColdRemaining, Registered: upstream.Registered,
		})
	}
	for _, workspace := range c.Workspaces {
		catalogue.Workspaces = append(catalogue.Workspaces, cataloguer.Workspace{
			Name: workspace.Name, Weight: 1,
			Allowance: cataloguer.Allowance{Rate: workspace.Rate, Burst: workspace.Burst},
		})
	}
	return catalogue.Index()
}
