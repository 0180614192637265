// Package ticketer is the client side of scheduling, for the holder of the requests. It sends each ticket to the
// scheduler of its cell, the part of a pool that one scheduler handles. It moves tickets to another router when a
// stream breaks or the ranking changes, and releases grants that are no longer needed.
package ticketer
