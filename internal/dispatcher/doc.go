// Package dispatcher sends granted requests to their upstreams, each at most once.
//
// A prompt is written to an upstream once. A broken token stream is continued by resuming it on the same
// engine; the prompt is never sent again.
package dispatcher
