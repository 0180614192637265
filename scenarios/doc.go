// Package scenarios runs scripted end-to-end tests. Each script starts the platform stand-in and routers as processes
// on loopback, injects faults and verifies the recorded history with the checker.
package scenarios
