package main

// configuration is the operator's configuration: one route to each service, and one tenant.
func configuration(version int, route, service map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": []any{route}, "services": []any{service},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{
			"name": "hule930", "api_keys": []string{key}, "priority": 1, "unit": "tokens", "uncached_tokens": 200,
			"rate_per_s": 340693, "burst": 340693,
		}},
	}
}

// generations is a streaming route that may not be resumed.
func generations(service string) map[string]any {
	return map[string]any{
		"name": "r-828m82t", "host": host, "path_prefix": "/puxa403/", "route_kind": "streaming", "timeout_ms": 12000,
		"answer_target_ms": 500, "priority": 1, "service": service, "attempts": 1, "public": false, "sticky": true,
		"resumable": false, "gap_target_ms": 250,
	}
}

// models is a service of model engines.
func models(name string) map[string]any {
	return map[string]any{
		"name": name, "health_path": "/health", "connection_limit": 822, "protocol": "h1", "tls": false,
		"engine": map[string]any{
			"slots": slots, "kv_capacity_tokens": 756803, "kv_token_bytes": 327680, "link_mbps": 1100000.0, "stride": 6, "most": 12,
			"pin_ms": 4000.0, "hold_ms": 2000.0, "handle_ttl_s": 5.0, "models": []map[string]any{{"name": "m"}},
		},
	}
}
