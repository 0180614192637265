// Package archiver keeps what the routers know of requests and parts of prompts that crash engines in the directory, so that
// a loss of all routers doesn't let a request crash engines anew. It never delays a request: a router stores what it found
// in the background, and the routers that read the directory check that it is there.
package archiver
