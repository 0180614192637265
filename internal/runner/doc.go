// Package runner hosts the schedulers of the pool cells that this router is ranked for, connects holders to them
// and feeds them load reports, cache events, catalogue changes and poison convictions.
package runner
