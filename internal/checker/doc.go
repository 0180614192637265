// Package checker verifies a recorded history against the invariants P1 to P8 of the design page.
//
// It uses only the observations of callers, upstreams and operators and the recorded events of the routers, never the
// routers' internal state.
package checker
