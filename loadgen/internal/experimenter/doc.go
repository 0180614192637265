// Package experimenter measures the scheduler's policies against their baselines. Each run drives the real scheduler
// package on virtual time with fake engines; policy and baseline get the same arrivals from the same seed.
package experimenter
