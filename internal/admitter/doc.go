// Package admitter bounds what clients that nobody controls can make a router keep: their connections, and the heads
// (request lines and header fields) that they have begun to send. It puts a thin reader below net/http, which remains the
// parser. The decisions are pure (see table); the design is described in docs/design/untrusted-clients.md.
package admitter
