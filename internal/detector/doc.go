// Package detector keeps the membership of the routers: a SWIM-like failure detector with incarnations,
// suspicion and refutation, and delta gossip on its probes.
package detector
