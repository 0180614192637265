// Package claimer makes sure that a keyed request runs at most once: a claim is a record on the log, and the
// first claim of a scope in log order wins.
package claimer
