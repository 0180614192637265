// Package forwarder takes callers' requests for published routes and passes them on to upstreams with their bytes
// unchanged. It authenticates callers, holds no queue of its own, and relays answers and event streams as they arrive.
package forwarder
