package extrapolator

import (
	"testing"
	"testing/synctest"
)

// virtually runs work on virtual time: timers fire in order as soon as all goroutines wait, so that a busy machine
// delays no probe and an hour of the product passes in seconds. synctest needs a test to report to; an empty one
// serves, since work reports by its error and fails no test.
func virtually(work func() error) error {
	testing.Init()
	var err error
	synctest.Test(&testing.T{}, func(*testing.T) { err = work() })
	return err
}
