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

// RoutingConfig is one publication with its lookup tables. It is immutable.
type RoutingConfig struct {
	*kernel.Publication
	// routes holds the routes of each host by their prefix.
	routes   map[string]map[string]*kernel.Route
	keys     map[string]*kernel.PublishedWorkspace
	services map[string]*kernel.PublishedService
	// ranks are the urgencies of all pairs of a workspace and a route, the most urgent first.
	ranks []urgency
}

// urgency orders requests: by their workspace first, then by their route.
type urgency struct {
	workspace int
	route     int
}

func compareUrgency(a, b urgency) int {
	return cmp.Or(cmp.Compare(a.workspace, b.workspace), cmp.Compare(a.route, b.route))
}

// NewRoutingConfig builds the lookup tables of a publication.
func NewRoutingConfig(publication *kernel.Publication) *RoutingConfig {
	plan := &RoutingConfig{
		Publication: publication,
		routes:      make(map[string]map[string]*kernel.Route),
		keys:        make(map[string]*kernel.PublishedWorkspace),
		services:    make(map[string]*kernel.PublishedService, len(publication.Services)),
	}
	for i := range publication.Routes {
		route := &publication.Routes[i]
		host := strings.ToLower(route.Host)
		if plan.routes[host] == nil {
			plan.routes[host] = make(map[string]*kernel.Route)
		}
		plan.routes[host][route.Prefix] = route
	}
	for i := range publication.Services {
		plan.services[publication.Services[i].Name] = &publication.Services[i]
	}
	for i := range publication.Workspaces {
		workspace := &publication.Workspaces[i]
		for _, key := range workspace.Keys {
			plan.keys[key] = workspace
		}
	}
	plan.rank()
	return plan
}

// rank collects the urgencies that occur.
func (p *RoutingConfig) rank() {
	for i := range p.Routes {
		p.ranks = append(p.ranks, urgencyOf(&p.Routes[i], nil))
		for j := range p.Workspaces {
			p.ranks = append(p.ranks, urgencyOf(&p.Routes[i], &p.Workspaces[j]))
		}
		slices.SortFunc(p.ranks, compareUrgency)
		p.ranks = slices.Compact(p.ranks)
	}
	if len(p.Workspaces) > 0 {
		// Only public routes have no workspace; they don't take a tier from the others.
		least := slices.MinFunc(p.Workspaces, func(a, b kernel.PublishedWorkspace) int { return cmp.Compare(a.Tier, b.Tier) }).Tier
		p.ranks = slices.DeleteFunc(p.ranks, func(u urgency) bool { return u.workspace < least })
	}
}

func urgencyOf(route *kernel.Route, workspace *kernel.PublishedWorkspace) urgency {
	if workspace == nil {
		return urgency{workspace: math.MinInt, route: route.Tier}
	}
	return urgency{workspace: workspace.Tier, route: route.Tier}
}

// Tier returns the tier of a workspace's requests for a route. Where more urgencies occur than there are tiers,
// neighbouring ones share a tier. workspace is nil for public routes.
func (p *RoutingConfig) Tier(route *kernel.Route, workspace *kernel.PublishedWorkspace) int {
	own := urgencyOf(route, workspace)
	if workspace == nil && len(p.Workspaces) > 0 {
		own.workspace = p.ranks[0].workspace
	}
	rank, _ := slices.BinarySearchFunc(p.ranks, own, compareUrgency)
	if len(p.ranks) > cataloguer.PriorityLevels {
		rank = rank * cataloguer.PriorityLevels / len(p.ranks)
	}
	return min(rank, cataloguer.PriorityLevels-1)
}

// Route returns the route with the longest prefix that begins the path, among those of the host.
func (p *RoutingConfig) Route(host, path string) (*kernel.Route, bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	routes := p.routes[strings.ToLower(host)]
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if route, ok := routes[path[:end+1]]; ok {
			return route, true
		}
	}
	return nil, false
}

// Workspace returns the workspace that holds an API key.
func (p *RoutingConfig) Workspace(key string) (*kernel.PublishedWorkspace, bool) {
	workspace, ok := p.keys[key]
	return workspace, ok
}

// TokensPerEvent returns how many tokens an event of a service's streams holds; 0 if it isn't known.
func (p *RoutingConfig) TokensPerEvent(service string) int {
	if found, ok := p.services[service]; ok {
		return found.TokensPerEvent
	}
	return 0
}

// catalogue returns the pools of the plan's services with the upstreams that take new work, and the workspaces.
func (p *RoutingConfig) catalogue(revision uint64, upstreams []kernel.Registration) *cataloguer.Catalogue {
	catalogue := &cataloguer.Catalogue{Revision: revision}
	pools := make(map[string]int, len(p.Services))
	for _, service := range p.Services {
		pools[service.Name] = len(catalogue.Pools)
		catalogue.Pools = append(catalogue.Pools, cataloguer.Pool{Name: service.Name, Opaque: true, ModelEngines: service.Model})
	}
	for _, upstream := range upstreams {
		index, ok := pools[upstream.Service]
		if !ok || upstream.Leaving {
			continue
		}
		pool := &catalogue.Pools[index]
		pool.Upstreams = append(pool.Upstreams, cataloguer.Upstream{
			Name: upstream.Name, Address: upstream.Address, DataCentre: upstream.DataCentre, Slots: upstream.Slots,
			KVTokens: p.services[upstream.Service].KVTokens,
		})
	}
	for _, workspace := range p.Workspaces {
		catalogue.Workspaces = append(catalogue.Workspaces, cataloguer.Workspace{
			Name: workspace.Name, Weight: 1,
			Allowance: cataloguer.Allowance{Rate: workspace.Rate, Burst: workspace.Burst},
		})
	}
	return catalogue.Index()
}
