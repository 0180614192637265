// Package claimer ensures that a request with an idempotency key runs at most once. A claim is a record on the log,
// and the first claim of a scope in log order wins.
package claimer
