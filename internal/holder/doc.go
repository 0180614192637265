// Package holder owns the requests whose callers are connected to this router.
//
// A request waits only here. It is dispatched by the goroutine that serves its caller, at most once: one atomic
// word holds its state, and every refusal as "not run" is a transition from a state in which nothing was sent.
package holder
