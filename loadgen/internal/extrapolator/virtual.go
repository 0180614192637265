package extrapolator

import (
	"testing"
	"testing/synctest"
)

// runInVirtualTime runs work with the fake clock of synctest: time advances as soon as all goroutines are blocked, so
// that a busy machine delays no probe and an hour of virtual time passes in seconds. synctest requires a testing.T; an
// empty one is enough, since work reports failures by its error.
func runInVirtualTime(work func() error) error {
	testing.Init()
	var err error
	synctest.Test(&testing.T{}, func(*testing.T) { err = work() })
	return err
}
