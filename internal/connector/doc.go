// Package connector sends opaque HTTP/1.1 requests to upstreams over kept connections. It never repeats a request, and
// it tells apart requests of which no byte was written from those that may have run.
package connector
