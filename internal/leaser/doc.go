// Package leaser gives each engine at most one orderer: leases are records on the log, and the offset of a lease
// is its fencing number.
package leaser
