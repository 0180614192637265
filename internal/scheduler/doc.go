// Package scheduler decides for one pool cell which queued ticket runs on which engine.
//
// A Scheduler is a state machine with explicit time: it starts no goroutine, reads no clock and is not safe for
// concurrent use. The host feeds it tickets, releases and load reports and calls Step for the decisions.
package scheduler
