// Package scenarios holds the scripted scenarios: each starts the stand-in and routers as processes on loopback,
// injects faults and judges the recorded history with the checker.
package scenarios
