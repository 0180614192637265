// Package promoter decides about rollouts of a new version of a service: which versions a router may use, how many requests
// the new version gets, and when the rollout is completed or rolled back. Its types are pure state machines: they read no
// clock, start no goroutine and do no I/O. Their callers must not use one of them concurrently.
package promoter
