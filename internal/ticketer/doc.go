// Package ticketer is the request holder's side of scheduling. It sends each ticket to the scheduler of its pool
// cell, moves tickets to the next-ranked router when a stream breaks or the ranking changes, and returns
// grants that it no longer needs.
package ticketer
