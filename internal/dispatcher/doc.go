// Package dispatcher sends granted requests to their upstreams, each at most once.
//
// A prompt is sent to an upstream only once. A broken token stream is resumed on the same engine without sending the
// prompt again.
package dispatcher
