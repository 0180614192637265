// Package checker verifies a recorded history against the invariants P1 to P8 of the design page.
//
// It uses only what callers, upstreams and operators saw and the events of the routers, never the routers' state.
package checker
