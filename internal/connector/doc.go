// Package connector sends HTTP/1.1 requests to upstreams over persistent connections and leaves their bytes unchanged.
// It never repeats a request, and its errors distinguish requests of which no byte was written from requests that may
// have run.
package connector
