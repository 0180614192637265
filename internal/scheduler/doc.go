// Package scheduler decides for one pool cell which queued ticket runs on which engine. A pool is divided into cells,
// each with its own engines.
//
// A ticket stands for a request that a holder, the router that keeps the caller's connection, wants to run. The
// scheduler answers each ticket with a grant of an engine or with a refusal.
//
// A Scheduler is a state machine that takes the current time as an argument: it starts no goroutine, reads no clock and
// is not safe for concurrent use. The host passes it tickets, releases and load reports and calls Step for the
// decisions.
package scheduler
