package notifier

import (
	"os"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestHangupBeforeServing guards against a SIGHUP that ends a process which has only initialised its packages, and against
// one that is lost until somebody waits for it.
func TestHangupBeforeServing(t *testing.T) {
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	select {
	case <-Hangups():
	case <-time.After(time.Second):
		t.Fatal("SIGHUP didn't arrive")
	}
}
