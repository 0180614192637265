// Package forwarder is the reverse proxy for published routes: it forwards callers' requests to upstreams with their
// bytes unchanged. It authenticates callers, has no queue of its own, and relays answers and event streams as they
// arrive.
package forwarder
