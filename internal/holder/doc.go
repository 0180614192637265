// Package holder owns the requests whose callers are connected to this router.
//
// Waiting requests are kept only here. The goroutine that serves the caller also sends the request to an upstream. It
// does so at most once, except for opaque requests that may be run again. The state of a request is a single atomic
// value; a request is refused as "not run" only from a state in which nothing was sent, or after the upstream stated
// that it didn't run the request.
package holder
