// Package pacer decides how many requests an engine that has just started or recovered may have in flight.
//
// A Window opens with answers in time and closes with late answers, failures and losses. It ends when it no longer limits
// anything. All methods take the current time as an argument: the package reads no clock and starts no goroutine.
package pacer
