// Package experimenter measures the scheduler's policies against baselines. Each run drives the real scheduler package
// in a simulation with virtual time and fake engines. A policy and its baseline get the same arrivals from the same seed.
package experimenter
