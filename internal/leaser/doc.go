// Package leaser ensures that at most one router at a time sends orders to an engine. Leases are records on the log,
// and the offset of a lease record is its fencing token.
package leaser
