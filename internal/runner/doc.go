// Package runner hosts the schedulers of the pool cells that this router is ranked for. It connects holders to them and
// passes them load reports, cache events, catalogue changes and the suspect and poison requests that other routers
// found.
package runner
