// Package detector maintains the membership of the routers. It is a SWIM-like failure detector with incarnations,
// suspicion and refutation, and piggybacks membership deltas on its probes.
package detector
