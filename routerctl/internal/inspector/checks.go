package inspector

import (
	"fmt"
	"strings"

	"coltsfootplank/internal/kernel"
)

// bodyMemoryParts is the part of limits.memory_mb that all bodies together may take: one in two.
const bodyMemoryParts = 2

func (i *inspection) routes() {
	names, matched := make(map[string]string), make(map[string]string)
	services := make(map[string]bool)
	for _, service := range i.configuration.Services {
		services[service.Name] = true
	}
	for n, route := range i.configuration.Routes {
		path := fmt.Sprintf("Routes[%d]", n)
		i.add(route.Name == "", Mistake, path, "the route has no name")
		i.add(names[route.Name] != "", Mistake, path, "route %q is named twice", route.Name)
		names[route.Name] = path
		i.add(!strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/"), Unreachable, path+".Prefix",
			"route %q: prefix %q doesn't begin and end with a slash", route.Name, route.Prefix)
		i.add(route.Host == "" || strings.Contains(route.Host, ":"), Unreachable, path+".Host",
			"route %q: host %q is empty or has a port", route.Name, route.Host)
		match := strings.ToLower(route.Host) + route.Prefix
		// The last of several routes with the same host and prefix applies.
		if earlier, ok := matched[match]; ok {
			i.add(true, Unreachable, earlier, "the route at line %d has the same host and prefix",
				i.configuration.Lines[path])
		}
		matched[match] = path
		i.targets(path, route, services)
		i.times(path, route)
	}
}

func (i *inspection) targets(path string, route kernel.Route, services map[string]bool) {
	weight := 0
	for _, target := range route.Targets {
		weight += target.Weight
		i.add(!services[target.Service], Mistake, path+".Targets", "route %q: service %q isn't defined", route.Name, target.Service)
		i.add(target.Weight == 0 && len(route.Targets) > 1, Unreachable, path+".Targets",
			"route %q: service %q has the weight 0", route.Name, target.Service)
	}
	i.add(weight == 0, Mistake, path+".Targets", "route %q: all weights are 0", route.Name)
}

func (i *inspection) times(path string, route kernel.Route) {
	i.add(route.Timeout == 0, Mistake, path+".Timeout", "route %q has no time limit", route.Name)
	i.add(route.Timeout > 0 && route.Timeout < route.Objective, Contradiction, path+".Timeout",
		"route %q: the time limit of %s is shorter than the objective of %s", route.Name, route.Timeout, route.Objective)
	i.add(route.Timeout > 0 && route.Timeout < route.MaxPause, Contradiction, path+".MaxPause",
		"route %q: the time limit of %s is shorter than the pause of %s", route.Name, route.Timeout, route.MaxPause)
	i.add(route.MaxPause > 0 && route.Kind != kernel.RouteStream, Contradiction, path+".MaxPause",
		"route %q has a longest pause, but isn't a stream", route.Name)
}

func (i *inspection) services() {
	names, used := make(map[string]bool), make(map[string]bool)
	for _, route := range i.configuration.Routes {
		for _, target := range route.Targets {
			used[target.Service] = used[target.Service] || target.Weight > 0
		}
	}
	for n, service := range i.configuration.Services {
		path := fmt.Sprintf("Services[%d]", n)
		i.add(names[service.Name], Mistake, path, "service %q is named twice", service.Name)
		names[service.Name] = true
		i.add(!used[service.Name], Unreachable, path, "no route leads to service %q", service.Name)
		i.add(service.ModelEngines && service.KVTokens == 0, Mistake, path+".ModelEngines",
			"service %q: its engines have no capacity for tokens", service.Name)
	}
}

func (i *inspection) workspaces() {
	names, holders := make(map[string]bool), make(map[string]string)
	for n, workspace := range i.configuration.Workspaces {
		path := fmt.Sprintf("Workspaces[%d]", n)
		i.add(names[workspace.Name], Mistake, path, "workspace %q is named twice", workspace.Name)
		names[workspace.Name] = true
		i.add(len(workspace.Keys) == 0, Unreachable, path, "workspace %q has no key", workspace.Name)
		for k, key := range workspace.Keys {
			holder, held := holders[key]
			i.add(held, Mistake, fmt.Sprintf("%s.Keys[%d]", path, k), "key %d of workspace %q is held by workspace %q too",
				k+1, workspace.Name, holder)
			holders[key] = workspace.Name
			i.add(key == "", Unreachable, path+".Keys", "a key of workspace %q is empty", workspace.Name)
		}
		limited := workspace.Rate > 0
		// Requests that declare no sizes are charged DefaultTokens.
		largest := float64(workspace.DefaultTokens)
		if workspace.RequestUnit {
			largest = 1
		}
		i.add(limited && workspace.Burst < largest, Contradiction, path+".Burst",
			"workspace %q: the burst of %v is below the %v of one request", workspace.Name, workspace.Burst, largest)
		i.add(!limited && workspace.Burst > 0, Contradiction, path+".Rate",
			"workspace %q has a burst, but no rate, and isn't limited", workspace.Name)
	}
}

func (i *inspection) limits() {
	limits, gateway := i.settings.Limits, i.settings.Gateway
	body, bodies := i.configuration.MaxBodyBytes, int64(limits.MemoryMB)<<20/bodyMemoryParts
	i.add(bodies > 0 && body > bodies, Contradiction, "MaxBodyBytes",
		"a body of %d bytes is allowed, but the memory for all bodies is %d", body, bodies)
	i.addSetting(body == 0 && bodies > 0 && limits.MaxBodyBytes > bodies, Contradiction, "limits.max_body_bytes",
		"a body of %d bytes is allowed, but the memory for all bodies is %d", limits.MaxBodyBytes, bodies)
	repeats := false
	for n, route := range i.configuration.Routes {
		// A request that was sent at most once is repeated only if no engine can have begun it.
		repeated := route.Attempts > 1 && (route.Kind == kernel.RouteIdempotent || route.Kind == kernel.RouteStream)
		repeats = repeats || repeated
		i.add(repeated && gateway.RepeatRatio == 0 && gateway.RepeatSlack == 0, Contradiction, fmt.Sprintf("Routes[%d].Attempts", n),
			"route %q has %d attempts, but the settings allow no repeats", route.Name, route.Attempts)
	}
	i.addSetting(gateway.RepeatRatio > 0 && !repeats, Contradiction, "gateway.repeat_ratio",
		"no route allows a repeat")
}
